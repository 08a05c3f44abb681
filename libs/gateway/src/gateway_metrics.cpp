#include "gateway_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "masticgrade/base/bounded_labels.hpp"

namespace masticgrade {

namespace {

/// Upper bounds in seconds, from a read on an idle instance to the longest statement timeout.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.005, 0.01, 0.02, 0.05, 0.1, 0.15,
                                                              0.25,  0.5,  0.8,  1.5,  3,   10};

double in_seconds(duration value) { return std::chrono::duration<double>(value).count(); }

}  // namespace

class gateway_metrics::implementation {
public:
    implementation()
        : latency_(prometheus::BuildHistogram()
                       .Name("masticgrade_operation_seconds")
                       .Help("Time from an operation's first statement to its answer, in seconds.")
                       .Register(registry_)),
          operations_(prometheus::BuildCounter()
                          .Name("masticgrade_operations_total")
                          .Help("Operations by answer and reason.")
                          .Register(registry_)),
          waits_(prometheus::BuildHistogram()
                     .Name("masticgrade_connection_wait_seconds")
                     .Help("Time that an operation waited for a backend connection, in seconds.")
                     .Register(registry_)) {}

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& operations_;
    prometheus::Family<prometheus::Histogram>& waits_;
    bounded_labels customers_;
};

gateway_metrics::gateway_metrics() : implementation_(std::make_unique<implementation>()) {}
gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::observe_operation(const customer_id& customer, std::string_view consistency,
                                        answer_code code, std::string_view reason,
                                        duration latency) {
    const auto name = implementation_->customers_.label(customer);
    implementation_->latency_
        .Add({{"customer", name}, {"consistency", std::string{consistency}}}, latency_buckets)
        .Observe(in_seconds(latency));
    implementation_->operations_
        .Add({{"customer", name},
              {"code", std::string{to_string(code)}},
              {"reason", std::string{reason}}})
        .Increment();
}

void gateway_metrics::observe_wait(const group_id& group, duration waited) {
    implementation_->waits_.Add({{"group", group.str()}}, latency_buckets)
        .Observe(in_seconds(waited));
}

void gateway_metrics::count(const std::string& name, const std::string& help,
                            const std::string& label) {
    auto& family =
        prometheus::BuildCounter().Name(name).Help(help).Register(implementation_->registry_);
    family.Add(label.empty() ? prometheus::Labels{} : prometheus::Labels{{"kind", label}})
        .Increment();
}

void gateway_metrics::set_gauge(const std::string& name, const std::string& help, double value) {
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(implementation_->registry_)
        .Add({})
        .Set(value);
}

std::string gateway_metrics::scrape() const {
    return prometheus::TextSerializer{}.Serialize(implementation_->registry_.Collect());
}

}  // namespace masticgrade
