#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "masticgrade/net/http_message.hpp"

namespace masticgrade::edge_test {

/// The rows of the platform's store: what its calls read and change. Thread safety: none.
class store_rows {
public:
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Answers a call that reads or changes rows.
    http_response answer(const http_request& request);
    /// Keeps a copy of all rows and of the version counter.
    void copy();
    /// Replaces the rows and the version counter with the copy, and starts a new era.
    void restore();
    [[nodiscard]] std::uint64_t version() const { return version_; }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };

    http_response read(const std::string& target);
    http_response change(const std::string& body);

    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 1;
    std::map<std::string, std::map<std::string, row>> copied_tables_;
    std::uint64_t copied_version_ = 0;
};

http_response make_json_response(const boost::json::object& body, unsigned status = 200);

}  // namespace masticgrade::edge_test
