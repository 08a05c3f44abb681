#include "child_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace masticgrade::process_test {

namespace {

[[noreturn]] void run_program(std::vector<char*>& arguments, int output, int errors) {
    // No child outlives a test that crashed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(errors, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

}  // namespace

child_process::child_process(const std::string& program, std::vector<std::string> arguments,
                             const std::string& error_file, standard_output output) {
    arguments.insert(arguments.begin(), program);
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    const int errors = ::open(error_file.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    int pipe_ends[2] = {-1, -1};
    if (errors < 0 || ::pipe2(pipe_ends, O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), error_file);
    }
    pid_ = ::fork();
    if (pid_ == 0) {
        run_program(pointers, output == standard_output::pipe ? pipe_ends[1] : errors, errors);
    }
    ::close(pipe_ends[1]);
    ::close(errors);
    output_ = pipe_ends[0];
    if (pid_ < 0) {
        throw std::system_error(errno, std::generic_category(), program);
    }
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), output_(std::exchange(other.output_, -1)) {}

child_process::~child_process() {
    kill();
    if (output_ >= 0) {
        ::close(output_);
    }
}

std::string child_process::read_line() {
    std::string line;
    for (char next = 0; ::read(output_, &next, 1) == 1;) {
        if (next == '\n') {
            return line;
        }
        line += next;
    }
    throw std::runtime_error("the program ended without a line of output");
}

void child_process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void child_process::kill() {
    if (pid_ > 0) {
        signal(SIGKILL);
        wait();
    }
}

int child_process::wait() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(std::exchange(pid_, -1), &status, 0) < 0) {
        return -1;
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace masticgrade::process_test
