#include "line_client.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace masticgrade::edge_test {

namespace asio = boost::asio;

line_client::line_client(unsigned short port) {
    socket_.connect({asio::ip::make_address_v4("127.0.0.1"), port});
}

void line_client::send(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
}

std::string line_client::read_line() {
    boost::system::error_code fault;
    const auto length = asio::read_until(socket_, asio::dynamic_buffer(buffer_), "\r\n", fault);
    if (fault) {
        return {};
    }
    auto line = buffer_.substr(0, length - 2);
    buffer_.erase(0, length);
    return line;
}

std::string line_client::start(const std::string& database, const std::string& key) {
    send("START " + database + " " + key + "\r\n");
    return read_line();
}

std::vector<std::string> line_client::query(const std::string& id, const std::string& text) {
    send("QUERY " + id + " " + text + "\r\n");
    std::vector<std::string> lines;
    for (;;) {
        auto line = read_line();
        if (line.empty()) {
            return lines;
        }
        lines.push_back(line);
        if (line.rfind("READY", 0) == 0) {
            return lines;
        }
    }
}

bool is_done(const std::vector<std::string>& answer) {
    return answer.size() >= 2 && answer[answer.size() - 2].rfind("COMPLETE", 0) == 0;
}

}  // namespace masticgrade::edge_test
