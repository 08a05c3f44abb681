#include "masticgrade/folder/folder.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

using namespace masticgrade;
namespace fs = std::filesystem;

namespace {

const std::string groups = R"([[group]]
name = "ledger"
max_connections = 20
slots = 3
instances = [
  { id = "db-1", address = "127.0.0.1:5001", failure_domain = "Örebro" },
  { id = "db-2", address = "127.0.0.1:5002", failure_domain = "Falun" },
]

[[route]]
name = "bookings"
group = "ledger"
)";

const std::string customers = R"([[customer]]
name = "kust"
rate = 10
burst = 20.5
routes = ["bookings"]

[[customer.keys]]
id = "k1"
sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
)";

class temporary_folder {
public:
    temporary_folder() {
        auto pattern = (fs::temp_directory_path() / "folder_test.XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;
    ~temporary_folder() { fs::remove_all(path_); }

    void write(const std::string& name, const std::string& text) const {
        std::ofstream{path_ / name, std::ios::binary} << text;
    }
    [[nodiscard]] const fs::path& path() const { return path_; }

private:
    fs::path path_;
};

}  // namespace

TEST_CASE("the files of a folder are merged regardless of their order") {
    const temporary_folder folder;
    folder.write("10-customers.toml", customers);
    folder.write("20-groups.toml", groups);
    folder.write("30-more.toml",
                 "[[customer]]\nname = \"skog\"\nrate = 1\nburst = 1\nroutes = []\n");
    folder.write("notes.txt", "not TOML");
    const auto content = read_folder(folder.path());
    for (const auto& error : content.errors) {
        FAIL_CHECK(describe(error));
    }
    CHECK(content.config.customers.size() == 2);
    CHECK(content.config.customers.at(customer_id{"kust"}).burst == 20.5);
    CHECK(content.config.customers.at(customer_id{"kust"}).keys.size() == 1);
    CHECK(content.config.groups.at(group_id{"ledger"}).instances.size() == 2);
}

// Guards against a definition that silently overrides one from another file.
TEST_CASE("the error for a duplicate entry names both locations") {
    const temporary_folder folder;
    folder.write("10.toml", groups);
    folder.write("20.toml", customers);
    folder.write("30.toml", "\n" + customers.substr(0, customers.find("\n[[customer.keys]]")));
    const auto content = read_folder(folder.path());
    REQUIRE(content.errors.size() == 1);
    const auto& error = content.errors.front();
    CHECK(error.file == (folder.path() / "30.toml").string());
    CHECK(error.line == 3);
    CHECK(error.field == "customer \"kust\" name");
    CHECK(error.reason.find((folder.path() / "20.toml:2").string()) != std::string::npos);
}

// Guards against errors that are reported one at a time or with the wrong line.
TEST_CASE("every error is reported with its file, line and field") {
    const temporary_folder folder;
    folder.write("10.toml", groups);
    folder.write("20.toml",
                 "[[customer]]\nname = \"kust\"\nrate = -1\nburst = nan\nroutes = [\"roster\"]\n"
                 "colour = 1\n\n[[customer]]\nname = \"skog\"\nrate = 1979-05-27\n"
                 "routes = []\n");
    folder.write("30.toml", "[customers]\n\n[[route]]\nname = \n");
    folder.write("40.toml", "[backends]\nx = 1\n");
    const auto content = read_folder(folder.path());
    std::string all;
    for (const auto& error : content.errors) {
        all += describe(error).substr(folder.path().string().size() + 1) + "\n";
    }
    CAPTURE(all);
    const auto reports = [&](const std::string& start) { return all.find(start) != all.npos; };
    CHECK(reports("20.toml:3: customer \"kust\" rate: "));
    CHECK(reports("20.toml:4: customer \"kust\" burst: "));
    CHECK(reports("20.toml:6: customer \"kust\" colour: "));
    CHECK(reports("20.toml:10: customer \"skog\" rate: "));
    CHECK(reports("20.toml:8: customer \"skog\" burst: is missing"));
    CHECK(reports("30.toml:4: "));
    CHECK(reports("40.toml:1: backends: "));
    // The route may be defined in the file that could not be parsed.
    CHECK_FALSE(reports("20.toml:5: "));
    CHECK(content.errors.size() == 7);
}

// Guards against a mistyped folder name that removes every customer from the configuration.
TEST_CASE("a missing folder or one without TOML files is an error") {
    const temporary_folder folder;
    CHECK(read_folder(folder.path()).errors.size() == 1);
    CHECK(read_folder(folder.path() / "missing").errors.size() == 1);
}

// Guards against malformed files that crash masticgradectl instead of being reported.
TEST_CASE("malformed files do not crash the reader") {
    const temporary_folder folder;
    CHECK(rc::check("mutated files", [&] {
        auto text = groups + customers;
        for (int i = 0; i < *rc::gen::inRange(1, 6); ++i) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            text.replace(position, *rc::gen::inRange<std::size_t>(0, 4),
                         *rc::gen::element<std::string>("[", "]", "\"", "=", "\n", "{", "nan",
                                                        "\xFF", std::string(1, '\0'), "é"));
        }
        folder.write("10.toml", text);
        const auto content = read_folder(folder.path());
        for (const auto& error : content.errors) {
            RC_ASSERT(!error.reason.empty());
            RC_ASSERT(!error.file.empty());
        }
    }));
}
