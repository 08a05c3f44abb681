#include "request_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "masticgrade/base/bounded_labels.hpp"

namespace masticgrade {

namespace {

/// Bucket upper bounds in seconds, from a fast read over loopback to the maximum deadline.
const prometheus::Histogram::BucketBoundaries latency_buckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60};

std::string_view reason_label(const outcome& answer) {
    switch (answer.cause) {
        case refusal::none:
            return "none";
        case refusal::bad_request:
            return "bad_request";
        case refusal::unknown_key:
            return "unknown_key";
        case refusal::route_not_allowed:
            return "route_not_allowed";
        case refusal::statement_failed:
            return "statement_failed";
        case refusal::not_found:
            return "not_found";
        case refusal::cancelled:
            return "cancelled";
        case refusal::above_rate:
            return "above_rate";
        case refusal::unavailable:
            return "unavailable";
        case refusal::late:
            return "late";
    }
    return "none";
}

}  // namespace

class request_metrics::implementation {
public:
    implementation()
        : latency_(prometheus::BuildHistogram()
                       .Name("masticgrade_request_seconds")
                       .Help("Time from the whole request to its answer, in seconds.")
                       .Register(registry_)),
          answers_(prometheus::BuildCounter()
                       .Name("masticgrade_answers_total")
                       .Help("Answers by outcome and reason.")
                       .Register(registry_)),
          reads_(prometheus::BuildCounter()
                     .Name("masticgrade_reads_total")
                     .Help("Reads that were done, by the role of the instance.")
                     .Register(registry_)) {}

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Counter>& reads_;
    bounded_labels customers_;
};

request_metrics::request_metrics() : implementation_(std::make_unique<implementation>()) {}
request_metrics::~request_metrics() = default;

void request_metrics::observe(const customer_id& customer, std::string_view request_class,
                              const outcome& answer, duration latency) {
    const auto name = implementation_->customers_.label(customer);
    const std::string class_label{request_class};
    const double elapsed = std::chrono::duration<double>(latency).count();
    implementation_->latency_.Add({{"customer", name}, {"class", class_label}}, latency_buckets)
        .Observe(elapsed);
    implementation_->answers_
        .Add({{"customer", name},
              {"class", class_label},
              {"outcome", std::string{to_string(answer.kind)}},
              {"reason", std::string{reason_label(answer)}}})
        .Increment();
    if (class_label == "read" && answer.kind == outcome_kind::done) {
        implementation_->reads_
            .Add({{"customer", name}, {"role", answer.served_by_replica ? "replica" : "primary"}})
            .Increment();
    }
}

void request_metrics::set_gauge(const std::string& name, const std::string& help, double value) {
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(implementation_->registry_)
        .Add({})
        .Set(value);
}

std::string request_metrics::scrape() const {
    return prometheus::TextSerializer{}.Serialize(implementation_->registry_.Collect());
}

}  // namespace masticgrade
