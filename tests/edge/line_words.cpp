#include "line_words.hpp"

namespace masticgrade::edge_test {

std::string take_word(std::string& text) {
    const auto blank = text.find(' ');
    auto word = text.substr(0, blank);
    text = blank == std::string::npos ? std::string{} : text.substr(blank + 1);
    return word;
}

std::optional<log_index> take_position(std::string& text) {
    if (text.rfind("MINLSN ", 0) != 0) {
        return std::nullopt;
    }
    take_word(text);
    const auto value = take_word(text);
    const auto dot = value.find('.');
    return log_index{term_number{std::stoull(value.substr(0, dot))},
                     log_position{std::stoull(value.substr(dot + 1))}};
}

}  // namespace masticgrade::edge_test
