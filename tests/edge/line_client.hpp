#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

namespace masticgrade::edge_test {

/// A caller that speaks the line protocol over a blocking socket. Thread safety: one thread.
class line_client {
public:
    /// Throws boost::system::system_error when nobody listens.
    explicit line_client(unsigned short port);

    /// Opens the session; returns the answering line.
    std::string start(const std::string& database, const std::string& key);
    /// Runs one statement; returns the lines of its answer, or nothing when the connection ended.
    std::vector<std::string> query(const std::string& id, const std::string& text);
    void send(const std::string& bytes);
    /// The next line, or an empty text when the connection ended.
    std::string read_line();

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    std::string buffer_;
};

/// Whether the answer is a success.
bool is_done(const std::vector<std::string>& answer);

}  // namespace masticgrade::edge_test
