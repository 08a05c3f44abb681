#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <exception>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/net/http_client.hpp"

// Measures what a read costs through a proxy and straight at the instance, on one connection each,
// with the two taking turns so that both see the same state of the machine.

using namespace masticgrade;
namespace asio = boost::asio;

namespace {

struct settings {
    std::string proxy;
    std::string instance;
    std::string key;
    std::string route;
    unsigned term = 1;
    int requests = 5000;
};

http_request read_through_proxy(const settings& options) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/routes/" + options.route + "/statements";
    request.headers.add("Authorization", "Bearer " + options.key);
    request.body = R"({"kind":"read","statement":{"op":"get","key":"cost"}})";
    return request;
}

http_request read_directly(const settings& options) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/execute";
    request.body = fmt::format(
        R"({{"request_id":1,"term":{},"kind":"read","customer":"cost","statement":{{"op":"get","key":"cost"}}}})",
        options.term);
    return request;
}

asio::awaitable<double> timed(http_connection& connection, const http_request& request) {
    const auto started = steady_clock::now();
    const auto answer = co_await connection.send(request, started + seconds{5});
    if (answer.status != 200) {
        throw std::runtime_error(fmt::format("status {}: {}", answer.status, answer.body));
    }
    co_return std::chrono::duration<double, std::milli>(steady_clock::now() - started).count();
}

double percentile(std::vector<double>& values, double share) {
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

asio::awaitable<void> run(const settings& options, asio::any_io_executor executor) {
    http_connection proxy{executor, endpoint_address{options.proxy}};
    http_connection instance{executor, endpoint_address{options.instance}};
    co_await proxy.connect(steady_clock::now() + seconds{5});
    co_await instance.connect(steady_clock::now() + seconds{5});
    const auto through_proxy = read_through_proxy(options);
    const auto direct = read_directly(options);
    std::vector<double> proxy_ms;
    std::vector<double> direct_ms;
    for (int i = 0; i < options.requests; ++i) {
        proxy_ms.push_back(co_await timed(proxy, through_proxy));
        direct_ms.push_back(co_await timed(instance, direct));
    }
    for (const double share : {0.5, 0.9, 0.99}) {
        const double with = percentile(proxy_ms, share);
        const double without = percentile(direct_ms, share);
        fmt::print("p{:.0f}: proxy {:.3f} ms, direct {:.3f} ms, added {:.3f} ms\n", share * 100,
                   with, without, with - without);
    }
}

}  // namespace

int main(int argc, char** argv) {
    namespace po = boost::program_options;
    settings options;
    po::options_description flags{"proxy_cost"};
    flags.add_options()("proxy", po::value(&options.proxy)->required(), "ip:port of a proxy")(
        "instance", po::value(&options.instance)->required(), "ip:port of the primary")(
        "key", po::value(&options.key)->required(), "key of a customer")(
        "route", po::value(&options.route)->required(), "route")("term", po::value(&options.term),
                                                                 "term of the primary")(
        "requests", po::value(&options.requests), "reads on each connection");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
        asio::io_context context;
        std::exception_ptr failure;
        asio::co_spawn(context, run(options, context.get_executor()),
                       [&](const std::exception_ptr& problem) { failure = problem; });
        context.run();
        if (failure) {
            std::rethrow_exception(failure);
        }
    } catch (const std::exception& problem) {
        fmt::print(stderr, "proxy_cost: {}\n", problem.what());
        return 1;
    }
    return 0;
}
