#include "soak/lonenode.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include <sys/wait.h>
#include <unistd.h>

namespace Egretpath
{

namespace
{

std::string textOf(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return std::move(text).str();
}

}

LoneNode::LoneNode()
    : folder_(std::filesystem::temp_directory_path() / ("egretpath-node-" + std::to_string(getpid())))
    , log_(folder_ / "node.log")
    , process_(EGRETPATH_NODE_PROGRAM, settings(), log_)
{
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    writeSettings(LoneNodeSettings);
}

LoneNode::~LoneNode()
{
    if (process_.isRunning()) {
        process_.signal(SIGKILL);
        (void)waitForExit();
    }
    std::filesystem::remove_all(folder_);
}

void LoneNode::writeSettings(std::string_view text) const
{
    std::ofstream(settings()) << text;
}

bool LoneNode::runsProgram() const
{
    std::error_code error;
    const auto running = std::filesystem::read_symlink(processFile("exe"), error);
    return !error && running == std::filesystem::canonical(EGRETPATH_NODE_PROGRAM);
}

bool LoneNode::hasMapped(std::string_view library) const
{
    return textOf(processFile("maps")).find(library) != std::string::npos;
}

bool LoneNode::hasLogged(std::string_view event) const
{
    return textOf(log_).find("event=" + std::string(event) + ' ') != std::string::npos;
}

bool LoneNode::hasExited() const
{
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(process_.id()), &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid != 0;
}

std::string LoneNode::waitForExit()
{
    ProcessExit childExit;
    const bool exited = waitUntil([&childExit] {
        childExit = NodeProcess::reapChild();
        return childExit.process != 0;
    });
    if (!exited) {
        return "still runs";
    }
    process_.recordExit(childExit.reason);
    return childExit.reason;
}

std::string LoneNode::stop()
{
    process_.signal(SIGTERM);
    return waitForExit();
}

std::filesystem::path LoneNode::processFile(const char *name) const
{
    return std::filesystem::path("/proc") / std::to_string(process_.id()) / name;
}

}
