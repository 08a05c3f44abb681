#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <string>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/base/types.hpp"

using namespace masticgrade;

namespace {

/// Redirects standard output to a pipe for as long as it lives.
class captured_output {
public:
    captured_output() : original_(::dup(STDOUT_FILENO)) {
        REQUIRE(::pipe(ends_.data()) == 0);
        REQUIRE(::dup2(ends_[1], STDOUT_FILENO) == STDOUT_FILENO);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;
    ~captured_output() {
        restore();
        ::close(ends_[0]);
    }

    /// Ends the redirection and returns what was written, up to 4 KB.
    std::string take() {
        restore();
        std::string text(4096, '\0');
        const auto length = ::read(ends_[0], text.data(), text.size());
        text.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
        return text;
    }

private:
    void restore() {
        if (original_ >= 0) {
            ::dup2(original_, STDOUT_FILENO);
            ::close(original_);
            ::close(ends_[1]);
            original_ = -1;
        }
    }

    int original_;
    std::array<int, 2> ends_{};
};

}  // namespace

// Operators filter by severity; lines without one must keep their form, which tools read.
TEST_CASE("only warnings carry their severity") {
    captured_output output;
    start_event_log("host-1");
    event_line{"refused"}.field("reason", "above rate").write();
    event_line{"failover_decision", event_severity::warning}.field("fence", 3).write();
    stop_event_log();
    const auto text = output.take();
    CHECK(text.find(" host=host-1 event=refused reason=\"above rate\"\n") != std::string::npos);
    CHECK(text.find(" host=host-1 level=warning event=failover_decision fence=3\n") !=
          std::string::npos);
}

// Guards against errors whose message omits the step or the peer.
TEST_CASE("an error message contains the step, the peer and the reason") {
    const error failure{"confirm", "10.0.0.1:5432", "timed out"};
    CHECK(std::string{failure.what()} == "confirm (peer 10.0.0.1:5432): timed out");
    CHECK(failure.step() == "confirm");
    CHECK(failure.reason() == "timed out");
}

// Guards against invariant violations that go unnoticed.
TEST_CASE("a violated invariant is counted") {
    const auto before = invariant_violations();
    MG_INVARIANT("test", 1 + 1 == 3, std::string{"sum=2"});
    CHECK(invariant_violations() == before + 1);
}

TEST_CASE("the error for an unknown log level quotes the level") {
    CHECK_THROWS_WITH_AS(parse_log_level("loud"), doctest::Contains("loud"), error);
}
