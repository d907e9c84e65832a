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

/// In the child, up to the program that it becomes. Only calls that are safe after fork().
[[noreturn]] void becomeProgram(const char *log, const std::array<char *, 4> &arguments)
{
    // The nodes end with the soak, also when that is killed: nobody else knows their ids.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log, O_WRONLY | O_CREAT | O_APPEND, LogMode);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // Inherited listeners would keep the soak's addresses in use.
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
    if (runs()) {
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
        becomeProgram(log.c_str(), arguments);
    }
    if (process_ < 0) {
        process_ = 0;
        throw std::runtime_error(program + ": " + std::strerror(errno));
    }
    ++boot_;
}

void NodeProcess::signal(int number)
{
    if (runs()) {
        kill(process_, number);
    }
}

ProcessEnd NodeProcess::collectEnd()
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
