#include "soak/nodeprocess.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Egretpath
{

namespace
{

constexpr mode_t LogMode = 0644;
constexpr int ExitNotStarted = 127;

/// Runs in the child process and replaces it by the program. May use only calls that are safe after fork().
[[noreturn]] void executeProgram(const char *log, const std::array<char *, 4> &arguments)
{
    // The kernel kills the node when the soak exits, even if the soak is killed, because no other process knows the
    // node's id.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log, O_WRONLY | O_CREAT | O_APPEND, LogMode);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // Inherited listening sockets would keep the soak's addresses in use.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments.data());
    _exit(ExitNotStarted);
}

}

NodeProcess::NodeProcess(std::filesystem::path program, std::filesystem::path settings, std::filesystem::path log)
    : program_(std::move(program))
    , settings_(std::move(settings))
    , log_(std::move(log))
{
}

NodeProcess::~NodeProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

void NodeProcess::start()
{
    std::string program = program_.string();
    std::string option = "--settings";
    std::string settings = settings_.string();
    const std::string log = log_.string();
    const std::array<char *, 4> arguments{program.data(), option.data(), settings.data(), nullptr};
    process_ = fork();
    if (process_ == 0) {
        executeProgram(log.c_str(), arguments);
    }
    if (process_ < 0) {
        process_ = 0;
        throw std::runtime_error(program + ": " + std::strerror(errno));
    }
    ++startCount_;
}

void NodeProcess::signal(int number)
{
    if (isRunning()) {
        kill(process_, number);
    }
}

ProcessExit NodeProcess::reapChild()
{
    int status = 0;
    const pid_t process = waitpid(-1, &status, WNOHANG);
    if (process <= 0) {
        return {};
    }
    if (WIFSIGNALED(status)) {
        return {process, "signal " + std::to_string(WTERMSIG(status)), false};
    }
    return {process, "exit code " + std::to_string(WEXITSTATUS(status)), WEXITSTATUS(status) == 0};
}

}
