#include "render.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <string_view>

namespace masticgrade {

namespace json = boost::json;

namespace {

bool is_scalar(const json::value& value) { return !value.is_structured(); }

std::string scalar_text(const json::value& value) {
    if (const auto* text = value.if_string()) {
        return text->empty() ? "-" : std::string{text->data(), text->size()};
    }
    if (const auto* number = value.if_double()) {
        return fmt::format("{}", *number);
    }
    return json::serialize(value);
}

class text_renderer {
public:
    void add_fields(const json::object& object, std::size_t depth) {
        for (const auto& field : object) {
            const std::string_view name{field.key().data(), field.key().size()};
            if (is_scalar(field.value())) {
                add_line(depth, fmt::format("{}: {}", name, scalar_text(field.value())));
            } else if (const auto* inner = field.value().if_object()) {
                add_line(depth, fmt::format("{}:", name));
                add_fields(*inner, depth + 1);
            } else {
                add_list(name, field.value().get_array(), depth);
            }
        }
    }
    [[nodiscard]] const std::string& text() const { return text_; }

private:
    void add_list(std::string_view name, const json::array& list, std::size_t depth) {
        if (std::all_of(list.begin(), list.end(), is_scalar)) {
            std::string line;
            for (const auto& value : list) {
                line += " " + scalar_text(value);
            }
            add_line(depth, fmt::format("{}:{}", name, list.empty() ? " none" : line));
            return;
        }
        add_line(depth, fmt::format("{}:", name));
        for (const auto& value : list) {
            add_entry(value, depth + 1);
        }
    }

    /// The scalar fields of an entry share one line; nested lists and objects follow, indented.
    void add_entry(const json::value& value, std::size_t depth) {
        const auto* object = value.if_object();
        if (object == nullptr) {
            add_line(depth, "- " + json::serialize(value));
            return;
        }
        std::string line = "-";
        json::object rest;
        for (const auto& field : *object) {
            if (is_scalar(field.value())) {
                line +=
                    fmt::format(" {}={}", std::string_view{field.key().data(), field.key().size()},
                                scalar_text(field.value()));
            } else {
                rest.insert(field);
            }
        }
        add_line(depth, line);
        add_fields(rest, depth + 1);
    }

    void add_line(std::size_t depth, std::string_view line) {
        if (!text_.empty()) {
            text_ += '\n';
        }
        text_ += std::string(2 * depth, ' ');
        text_ += line;
    }

    std::string text_;
};

}  // namespace

std::string render_text(const json::object& document) {
    text_renderer renderer;
    renderer.add_fields(document, 0);
    return renderer.text();
}

}  // namespace masticgrade
