#include "store_rows.hpp"

#include <openssl/evp.h>

#include <boost/json.hpp>
#include <utility>

namespace masticgrade::edge_test {

namespace json = boost::json;

namespace {

std::string to_base64(const std::string& bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
    return text;
}

std::string from_base64(const std::string& text) {
    std::string bytes(3 * (text.size() / 4) + 3, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                        reinterpret_cast<const unsigned char*>(text.data()),
                                        static_cast<int>(text.size()));
    const auto padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(length - padding));
    return bytes;
}

/// The value of a query parameter; the stand-in's callers encode nothing but slashes and 0x7F.
std::string parameter(const std::string& target, const std::string& name) {
    const auto start = target.find(name + "=");
    if (start == std::string::npos) {
        return {};
    }
    const auto begin = start + name.size() + 1;
    auto value = target.substr(begin, target.find('&', begin) - begin);
    for (const auto& [code, character] :
         {std::pair{"%2F", "/"}, std::pair{"%7F", "\x7f"}, std::pair{"%2f", "/"}}) {
        for (auto at = value.find(code); at != std::string::npos; at = value.find(code)) {
            value.replace(at, 3, character);
        }
    }
    return value;
}

}  // namespace

http_response make_json_response(const json::object& body, unsigned status) {
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

void store_rows::put(const std::string& table, const std::string& key, const std::string& value) {
    tables_[table][key] = {value, ++version_};
}

void store_rows::remove(const std::string& table, const std::string& key) {
    if (tables_[table].erase(key) > 0) {
        ++version_;
    }
}

http_response store_rows::answer(const http_request& request) {
    auto response = make_json_response({}, 404);
    if (request.target.rfind("/rows-get", 0) == 0) {
        response = read(request.target);
    } else if (request.target == "/rows-tx") {
        response = change(request.body);
    }
    response.headers.add("Store-Era", std::to_string(era_));
    return response;
}

void store_rows::copy() {
    copied_tables_ = tables_;
    copied_version_ = version_;
}

void store_rows::restore() {
    tables_ = copied_tables_;
    version_ = copied_version_;
    ++era_;
}

http_response store_rows::read(const std::string& target) {
    const auto table = parameter(target, "table");
    const auto from = parameter(target, "from");
    const auto to = parameter(target, "to");
    json::array rows;
    for (const auto& [key, item] : tables_[table]) {
        if (key >= from && (to.empty() || key < to)) {
            rows.push_back(json::object{{"table", table},
                                        {"part", ""},
                                        {"key", key},
                                        {"value", to_base64(item.value)},
                                        {"row-version", item.version}});
        }
    }
    return make_json_response({{"rows", rows}, {"has-more", false}, {"row-version", version_}});
}

http_response store_rows::change(const std::string& body) {
    const auto change = json::parse(body).as_object();
    const auto key_of = [](const json::value& item, const char* name) {
        return std::string{item.as_object().at(name).as_string()};
    };
    for (const auto& item : change.at("precondition").as_array()) {
        const auto& table = tables_[key_of(item, "table")];
        const auto found = table.find(key_of(item, "key"));
        const auto present = found == table.end() ? 0 : found->second.version;
        if (present != item.as_object().at("row-version").to_number<std::uint64_t>()) {
            return make_json_response({{"rows", json::array{}}}, 412);
        }
    }
    for (const auto& item : change.at("put").as_array()) {
        put(key_of(item, "table"), key_of(item, "key"), from_base64(key_of(item, "value")));
    }
    return make_json_response({{"row-version", version_}});
}

}  // namespace masticgrade::edge_test
