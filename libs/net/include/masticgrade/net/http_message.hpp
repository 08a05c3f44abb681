#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticgrade {

/// Header fields in order of arrival; names are compared case-insensitively.
class http_headers {
public:
    void add(std::string name, std::string value) {
        fields_.emplace_back(std::move(name), std::move(value));
    }
    /// Returns the value of the first field with this name, if present.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] auto begin() const noexcept { return fields_.begin(); }
    [[nodiscard]] auto end() const noexcept { return fields_.end(); }

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

struct http_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
};

struct http_response {
    unsigned status = 200;
    http_headers headers;
    std::string body;
    std::string content_type = "application/json";
};

}  // namespace masticgrade
