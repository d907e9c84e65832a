#include "crowds/processmemory.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include <arpa/inet.h>

namespace Egretpath
{

namespace
{

constexpr std::chrono::milliseconds SampleInterval{10};
/// The upstream beside a node has its address. What waits for the upstream is not the node's, what waits at the other
/// ends of its connections is. As /proc/net/tcp writes port 8301.
constexpr const char *UpstreamPort = ":206D";

std::filesystem::path processFolder(pid_t process)
{
    return std::filesystem::path("/proc") / std::to_string(process);
}

/// What the system says of the memory of a process, in bytes.
struct MemoryStatus
{
    std::uint64_t privateNow = 0;
    std::uint64_t residentPeak = 0;
    std::uint64_t files = 0;
};

MemoryStatus memoryOf(pid_t process)
{
    constexpr std::uint64_t BytesPerKib = 1024;
    MemoryStatus memory;
    std::ifstream status(processFolder(process) / "status");
    std::string name;
    while (status >> name) {
        std::uint64_t *value = nullptr;
        if (name == "RssAnon:") {
            value = &memory.privateNow;
        } else if (name == "VmHWM:") {
            value = &memory.residentPeak;
        } else if (name == "RssFile:") {
            value = &memory.files;
        }
        if (value != nullptr) {
            status >> *value;
            *value *= BytesPerKib;
        }
        std::getline(status, name);
    }
    return memory;
}

/// The address as /proc/net/tcp writes it.
std::string tableAddress(const std::string &address)
{
    in_addr number{};
    inet_pton(AF_INET, address.c_str(), &number);
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08X:", number.s_addr);
    return text.data();
}

std::uint64_t unreadBytes(const std::string &address)
{
    constexpr int HexadecimalBase = 16;
    const std::string local = tableAddress(address);
    std::uint64_t sum = 0;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string localAddress;
        std::string remoteAddress;
        std::string state;
        std::string queues;
        fields >> number >> localAddress >> remoteAddress >> state >> queues;
        const std::size_t colon = queues.find(':');
        const bool isConnected = state == "01" || state == "08";
        const bool isOfUpstream = localAddress.ends_with(UpstreamPort);
        const bool isToUpstream = remoteAddress == local + (UpstreamPort + 1);
        const bool isOfNode = isToUpstream || (!isOfUpstream && localAddress.starts_with(local));
        if (isConnected && isOfNode && colon != std::string::npos) {
            sum += std::stoull(queues.substr(colon + 1), nullptr, HexadecimalBase);
        }
    }
    return sum;
}

std::size_t descriptorCount(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator files(processFolder(process) / "fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

}

ProcessUse useOf(const WatchedProcess &watched)
{
    return {memoryOf(watched.process).privateNow + unreadBytes(watched.address), descriptorCount(watched.process)};
}

UseSampler::UseSampler(std::vector<WatchedProcess> watched)
    : watched_(std::move(watched))
    , thread_([this] { sample(); })
{
}

UseSampler::~UseSampler()
{
    isStopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

ProcessUse UseSampler::stop()
{
    isStopping_ = true;
    thread_.join();
    // What came and went between two samples.
    for (const WatchedProcess &watched : watched_) {
        const MemoryStatus memory = memoryOf(watched.process);
        const std::uint64_t peak = memory.residentPeak - std::min(memory.residentPeak, memory.files);
        largest_.bytes = std::max(largest_.bytes, peak);
    }
    return largest_;
}

void UseSampler::sample()
{
    while (!isStopping_) {
        for (const WatchedProcess &watched : watched_) {
            const ProcessUse use = useOf(watched);
            largest_.bytes = std::max(largest_.bytes, use.bytes);
            largest_.descriptors = std::max(largest_.descriptors, use.descriptors);
        }
        std::this_thread::sleep_for(SampleInterval);
    }
}

}
