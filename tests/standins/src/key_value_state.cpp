#include "key_value_state.hpp"

#include <algorithm>

namespace masticgrade::standins {

namespace json = boost::json;

namespace {

const json::object& as_statement(const json::value& statement) {
    if (!statement.is_object()) {
        throw statement_error("the statement is not an object");
    }
    return statement.get_object();
}

std::string text_field(const json::object& statement, const char* name) {
    const auto* field = statement.if_contains(name);
    if (field == nullptr || !field->is_string()) {
        throw statement_error(std::string("the statement lacks the text field ") + name);
    }
    return std::string(field->get_string());
}

const json::value& value_field(const json::object& statement) {
    const auto* field = statement.if_contains("value");
    if (field == nullptr) {
        throw statement_error("the statement lacks the field value");
    }
    return *field;
}

}  // namespace

bool is_write_statement(const json::value& statement) {
    const auto op = text_field(as_statement(statement), "op");
    if (op == "get" || op == "scan") {
        return false;
    }
    if (op == "put" || op == "append" || op == "take") {
        return true;
    }
    throw statement_error("unknown operation " + op);
}

unsigned statement_cost_ms(const json::value& statement) {
    const auto* object = statement.if_object();
    const auto* cost = object == nullptr ? nullptr : object->if_contains("cost_ms");
    if (cost == nullptr || !cost->is_int64()) {
        return 0;
    }
    constexpr std::int64_t longest = 60000;
    return static_cast<unsigned>(std::clamp<std::int64_t>(cost->get_int64(), 0, longest));
}

const json::value* transaction_view::find(const std::string& key) const {
    if (const auto changed = changes_.find(key); changed != changes_.end()) {
        return &changed->second;
    }
    const auto row = base_->find(key);
    return row == base_->end() ? nullptr : &row->second;
}

json::value transaction_view::run(const json::value& statement, const std::string& customer) {
    const auto& fields = as_statement(statement);
    const auto op = text_field(fields, "op");
    if (op == "scan") {
        return scan(text_field(fields, "prefix"));
    }
    const auto key = text_field(fields, "key");
    if (op == "get") {
        const auto* row = find(key);
        return json::object{{"key", key}, {"value", row == nullptr ? json::value{} : *row}};
    }
    if (op == "put") {
        changes_[key] = value_field(fields);
        return json::object{{"key", key}};
    }
    if (op == "append") {
        return append(key, fields);
    }
    if (op == "take") {
        return take(key, customer);
    }
    throw statement_error("unknown operation " + op);
}

json::object transaction_view::append(const std::string& key, const json::object& statement) {
    const auto& added = value_field(statement);
    if (!added.is_string()) {
        throw statement_error("only a string can be appended");
    }
    json::array list;
    if (const auto* row = find(key); row != nullptr) {
        if (!row->is_array()) {
            throw statement_error("the row is not a list");
        }
        list = row->get_array();
    }
    list.push_back(added);
    const auto length = list.size();
    changes_[key] = std::move(list);
    return {{"key", key}, {"length", length}};
}

json::object transaction_view::take(const std::string& key, const std::string& customer) {
    if (find(key) != nullptr) {
        throw statement_error("already taken");
    }
    changes_[key] = json::object{{"taken_by", customer}};
    return {{"key", key}, {"taken", true}};
}

json::object transaction_view::scan(const std::string& prefix) const {
    json::object rows;
    const auto copy = [&](const row_map& from) {
        for (auto row = from.lower_bound(prefix);
             row != from.end() && row->first.starts_with(prefix); ++row) {
            rows[row->first] = row->second;
        }
    };
    copy(*base_);
    copy(changes_);
    return {{"prefix", prefix}, {"rows", std::move(rows)}};
}

}  // namespace masticgrade::standins
