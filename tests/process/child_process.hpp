#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace masticgrade::process_test {

/// Where the standard output of a program goes.
enum class standard_output {
    /// To `read_line`.
    pipe,
    /// To the same file as standard error.
    file,
};

/// A program that this test started; ended with SIGKILL at the latest with this object.
/// Thread safety: one thread.
class child_process {
public:
    /// Standard error goes to the file. Throws std::runtime_error when the program cannot start.
    child_process(const std::string& program, std::vector<std::string> arguments,
                  const std::string& error_file, standard_output output = standard_output::pipe);
    child_process(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(const child_process&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /// The first line of standard output, without its end. Throws when there is none.
    std::string read_line();
    void signal(int number) const;
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Waits for the end; returns the exit code, or -1 after a signal.
    int wait();

private:
    pid_t pid_ = -1;
    int output_ = -1;
};

}  // namespace masticgrade::process_test
