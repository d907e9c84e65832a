#include "standins.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

namespace
{

const Clock::time_point StartedAt = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string base64(const std::string &bytes)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto at = [&](std::size_t k) { return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0U; };
        const unsigned value = (at(i) << 16U) | (at(i + 1) << 8U) | at(i + 2);
        text += letters[(value >> 18U) & 63U];
        text += letters[(value >> 12U) & 63U];
        text += i + 1 < bytes.size() ? letters[(value >> 6U) & 63U] : '=';
        text += i + 2 < bytes.size() ? letters[value & 63U] : '=';
    }
    return text;
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return decoded(part.substr(name.size() + 1));
        }
        at = end;
    }
    return {};
}

std::string response(int status, const std::string &reason, const Headers &headers, const std::string &body,
                     bool isHead = false)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto &field : headers) {
        text += field.first + ": " + field.second + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return isHead ? text : text + body;
}

}

double now()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - StartedAt).count();
}

void sleepMs(double milliseconds)
{
    if (milliseconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
    }
}

void openRecord(const std::string &file)
{
    recordFile.open(file);
}

void record(const std::string &line)
{
    const std::scoped_lock lock(recordMutex);
    char text[32];
    std::snprintf(text, sizeof text, "%9.3f s  ", now() / 1000);
    recordFile << text << line << '\n' << std::flush;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string Message::header(const std::string &name) const
{
    for (const auto &field : headers) {
        if (strcasecmp(field.first.c_str(), name.c_str()) == 0) {
            return field.second;
        }
    }
    return {};
}

std::unique_ptr<Wire> Wire::connect(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto wire = std::make_unique<Wire>(socket);
    timeval time{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return nullptr;
    }
    const int one = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    timeval longer{60, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &longer, sizeof longer);
    return wire;
}

bool Wire::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            if (count < 0 && errno == EINTR) {
                continue;
            }
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Wire::fill()
{
    char bytes[65536];
    while (true) {
        const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            wasReset = count < 0 && errno == ECONNRESET;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
}

bool Wire::readHead(Message &message)
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    std::istringstream lines(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    message.startLine = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string value = line.substr(colon + 1);
            value = value.substr(0, value.find('\r'));
            value.erase(
                0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
    }
    return true;
}

bool Wire::readExactly(std::uint64_t size, std::string *into)
{
    while (size > 0) {
        if (buffer_.empty() && !fill()) {
            return false;
        }
        const std::size_t part = static_cast<std::size_t>(std::min<std::uint64_t>(size, buffer_.size()));
        if (into != nullptr) {
            into->append(buffer_, 0, part);
        }
        buffer_.erase(0, part);
        size -= part;
    }
    return true;
}

bool Wire::read(Message &message, bool isResponse, bool keepsBody)
{
    message = Message();
    if (!readHead(message)) {
        return false;
    }
    std::string *into = keepsBody ? &message.body : nullptr;
    const std::string length = message.header("Content-Length");
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return false;
                }
            }
            const std::uint64_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            if (!readExactly(size, into) || !readExactly(2, nullptr)) {
                return false;
            }
            message.bodySize += size;
            if (size == 0) {
                return true;
            }
        }
    }
    if (!length.empty()) {
        message.bodySize = std::strtoull(length.c_str(), nullptr, 10);
        return readExactly(message.bodySize, into);
    }
    const int status = isResponse ? std::atoi(message.startLine.c_str() + 9) : 0;
    if (isResponse && status != 204 && status != 304) {
        while (fill()) {
        }
        message.body = std::exchange(buffer_, {});
        message.bodySize = message.body.size();
        return !wasReset;
    }
    return true;
}

void Wire::setTimeout(double milliseconds)
{
    const auto micro = static_cast<long>(milliseconds * 1000);
    timeval time{micro / 1000000, micro % 1000000 + 1};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

void Wire::close()
{
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

void Wire::reset()
{
    if (socket_ >= 0) {
        const linger abort{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        close();
    }
}

Server::Server(const std::string &ip, int port, Handler handler)
    : handler_(std::move(handler))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = addressOf(ip, port);
    if (bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(listener_, 1024) != 0) {
        std::fprintf(stderr, "cannot listen at %s:%d\n", ip.c_str(), port);
        std::exit(2);
    }
    thread_ = std::thread([this] {
        while (!isStopped_) {
            pollfd item{listener_, POLLIN, 0};
            if (poll(&item, 1, 50) <= 0) {
                continue;
            }
            const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::scoped_lock lock(mutex_);
                sockets_.insert(socket);
            }
            std::thread([this, socket] {
                {
                    Wire wire(dup(socket));
                    handler_(wire);
                }
                const std::scoped_lock lock(mutex_);
                sockets_.erase(socket);
                ::close(socket);
            }).detach();
        }
        ::close(listener_);
    });
}

Server::~Server()
{
    stop();
}

void Server::stop()
{
    if (isStopped_.exchange(true)) {
        return;
    }
    thread_.join();
    {
        const std::scoped_lock lock(mutex_);
        for (const int socket : sockets_) {
            const linger abort{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            shutdown(socket, SHUT_RDWR);
        }
    }
    for (int i = 0; i < 200; ++i) {
        {
            const std::scoped_lock lock(mutex_);
            if (sockets_.empty()) {
                return;
            }
        }
        sleepMs(10);
    }
}

Store::Store(const std::string &ip, int port)
{
    server_ = std::make_unique<Server>(ip, port, [this](Wire &wire) { serve(wire); });
}

Store::~Store()
{
    {
        const std::scoped_lock lock(mutex_);
        isStopped_ = true;
    }
    changed_.notify_all();
    server_->stop();
}

std::uint64_t Store::put(const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(mutex_);
    Item &item = items_[key];
    item.key = key;
    item.value = value;
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    events_.push_back(item);
    changed_.notify_all();
    return revision_;
}

std::uint64_t Store::remove(const std::string &key)
{
    const std::scoped_lock lock(mutex_);
    if (items_.erase(key) == 0) {
        return revision_;
    }
    Item item;
    item.key = key;
    item.revision = ++revision_;
    item.isDeleted = true;
    events_.push_back(item);
    changed_.notify_all();
    return revision_;
}

std::string Store::toJson(const Item &item) const
{
    if (item.isDeleted) {
        return "{\"key\":\"" + item.key + "\",\"revision\":" + std::to_string(item.revision) + ",\"deleted\":true}";
    }
    return "{\"key\":\"" + item.key + "\",\"value\":\"" + base64(item.value) + "\",\"revision\":"
        + std::to_string(item.revision) + ",\"created_at\":" + std::to_string(item.created) + ",\"lease\":0}";
}

std::string Store::answer(const std::string &target, int &status)
{
    status = 200;
    std::unique_lock lock(mutex_);
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/v1/kv-key") {
        const auto found = items_.find(queryValue(target, "key"));
        if (found == items_.end()) {
            status = 404;
            return "{}";
        }
        std::string text = toJson(found->second);
        text.pop_back();
        return text + ",\"at\":" + std::to_string(revision_) + "}";
    }
    const std::string prefix = queryValue(target, "prefix");
    if (path == "/v1/kv-range") {
        std::string list;
        const std::string after = queryValue(target, "after");
        for (const auto &entry : items_) {
            if (entry.first.rfind(prefix, 0) == 0 && entry.first > after) {
                list += (list.empty() ? "" : ",") + toJson(entry.second);
            }
        }
        return "{\"items\":[" + list + "],\"has_more\":false,\"at\":" + std::to_string(revision_) + "}";
    }
    if (path == "/v1/kv-watch") {
        const std::uint64_t after = std::strtoull(queryValue(target, "after").c_str(), nullptr, 10);
        const int wait = std::atoi(queryValue(target, "wait_ms").c_str());
        std::string list;
        const auto collect = [&] {
            list.clear();
            for (const Item &item : events_) {
                if (item.revision > after && item.key.rfind(prefix, 0) == 0) {
                    list += (list.empty() ? "" : ",") + toJson(item);
                }
            }
            return !list.empty() || isStopped_;
        };
        changed_.wait_for(lock, std::chrono::milliseconds(wait), collect);
        return "{\"events\":[" + list + "],\"at\":" + std::to_string(revision_) + "}";
    }
    status = 404;
    return "{}";
}

void Store::serve(Wire &wire)
{
    Message request;
    while (wire.read(request, false)) {
        ++calls;
        std::istringstream line(request.startLine);
        std::string method, target;
        line >> method >> target;
        int status = 200;
        const std::string body = answer(target, status);
        sleepMs(4);
        if (!wire.send(
                response(status, status == 200 ? "OK" : "Not Found", {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
}

std::size_t Runs::begin(Run run)
{
    const std::scoped_lock lock(mutex_);
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

void Runs::end(std::size_t index)
{
    const std::scoped_lock lock(mutex_);
    runs_[index].endedAt = now();
}

std::vector<Run> Runs::all()
{
    const std::scoped_lock lock(mutex_);
    return runs_;
}

std::vector<Run> Runs::of(const std::string &request)
{
    std::vector<Run> found;
    for (const Run &run : all()) {
        if (run.request == request) {
            found.push_back(run);
        }
    }
    return found;
}

Instance::Instance(InstanceOptions given, Store &store, Runs &runs)
    : options(std::move(given))
    , store_(store)
    , runs_(runs)
{
    server_ = std::make_unique<Server>(options.ip, options.port, [this](Wire &wire) { serve(wire); });
    // The item in the store changes only when more than the sequence changes, so that beats are not shown.
    writeEntry();
}

Instance::~Instance()
{
    crash();
}

void Instance::crash()
{
    if (isStopped_.exchange(true)) {
        return;
    }
    freed_.notify_all();
    server_->stop();
}

void Instance::setState(const std::string &state)
{
    {
        const std::scoped_lock lock(mutex_);
        state_ = state;
    }
    writeEntry();
}

void Instance::writeEntry()
{
    const std::scoped_lock lock(mutex_);
    store_.put("servers/" + options.id,
               "{\"service\":\"" + options.service + "\",\"address\":\"" + options.ip + ":"
                   + std::to_string(options.port) + "\",\"zone\":\"" + options.zone
                   + "\",\"version\":\"v1\",\"slots\":" + std::to_string(options.slots) + ",\"state\":\"" + state_
                   + "\",\"warmup_remaining\":\"0ms\",\"sequence\":" + std::to_string(++sequence_) + "}");
}

void Instance::serve(Wire &wire)
{
    wire.setTimeout(10000);
    Message request;
    while (!isStopped_ && wire.read(request, false)) {
        std::istringstream line(request.startLine);
        Run run;
        line >> run.method >> run.target;
        const std::string load = std::to_string(running_.load()) + "," + std::to_string(waiting_.load()) + ","
            + std::to_string(options.slots) + ",100";
        if (run.target == "/health") {
            wire.send(response(200, "OK",
                               {{"X-Egretpath-Instance-Id", options.id}, {"X-Egretpath-Instance-Load", load}}, ""));
            continue;
        }
        run.request = request.header("X-Egretpath-Attempt-Id");
        run.caller = request.header("X-Egretpath-Caller-Service");
        run.instance = options.id;
        run.bodySize = request.bodySize;
        run.bodyHash = hashOf(request.body);
        const std::string target = request.header("X-Egretpath-Target-Instance");
        if (run.request.empty()) {
            wire.send(response(400, "Bad Request", {{"X-Egretpath-Not-Executed", "1"}}, ""));
            continue;
        }
        if (!target.empty() && target != options.id) {
            wire.send(response(421, "Misdirected Request", {{"X-Egretpath-Instance-Id", options.id}}, ""));
            continue;
        }
        {
            std::unique_lock lock(mutex_);
            if (running_ >= options.slots && waiting_ >= 2 * options.slots) {
                lock.unlock();
                wire.send(response(503, "Service Unavailable",
                                   {{"X-Egretpath-Attempt-Id", run.request}, {"X-Egretpath-Not-Executed", "1"}}, ""));
                continue;
            }
            ++waiting_;
            freed_.wait(lock, [this] { return running_ < options.slots || isStopped_; });
            --waiting_;
            ++running_;
        }
        run.at = now();
        const std::size_t index = runs_.begin(run);
        sleepMs(options.workMs);
        if (isStopped_) {
            --running_;
            return;
        }
        runs_.end(index);
        {
            const std::scoped_lock lock(mutex_);
            --running_;
        }
        freed_.notify_one();
        if (options.special && options.special(wire, request, run)) {
            continue;
        }
        const std::string load2 = std::to_string(running_.load()) + "," + std::to_string(waiting_.load()) + ","
            + std::to_string(options.slots) + ",100";
        wire.send(response(200, "OK",
                           {{"X-Egretpath-Attempt-Id", run.request},
                            {"X-Egretpath-Server-Signature", options.id + "." + run.request},
                            {"X-Egretpath-Instance-Load", load2},
                            {"Keep-Alive", "timeout=10"}},
                           options.answerOf ? options.answerOf(run) : "the answer of the instance\n",
                           run.method == "HEAD"));
    }
}

Node::Node(NodeOptions given)
    : options(std::move(given))
{
    settingsFile = tempFolder() + "/" + options.name + ".toml";
    logFile = tempFolder() + "/" + options.name + ".log";
    const NodeOptions &o = options;
    std::ofstream file(settingsFile);
    const auto at = [&o](int port) { return "\"" + o.ip + ":" + std::to_string(port) + "\"\n"; };
    file << "[node]\nname = \"" << o.name << "\"\nservice = \"" << o.service << "\"\nregion = \"" << o.region
         << "\"\nzone = \"" << o.zone << "\"\n\n[listen]\ncallers = " << at(o.callers) << "ready = " << at(o.ready)
         << "peers = " << at(o.peers) << "starters = " << at(o.starters) << "metrics = " << at(o.metrics)
         << "\n[upstream]\naddress = " << at(o.instance) << "\n[platform]\nstore = \"" << o.store
         << "\"\n\n[peers]\nseeds = [" << o.seeds << "]\n\n[zones]\n"
         << o.zones << "\n[repeats]\nratio = 0.2\nslack = " << o.retrySlack
         << "\n\n[limits]\nlink_mbps = 1000.0\nmemory_mb = " << o.memoryMb
         << "\n\n[stop]\ngrace = \"6s\"\n\n[log]\ndecisions_per_second = 200\n";
}

Node::~Node()
{
    kill();
}

void Node::start()
{
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        const char *binary = std::getenv("NODE_BINARY");
        const std::string variable = "EGRETPATH_CONFIG=" + settingsFile;
        const char *const arguments[] = {binary, nullptr};
        const char *const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
        execve(binary, const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
        _exit(127);
    }
    pid = child;
}

void Node::signal(int number)
{
    if (pid > 0) {
        ::kill(pid, number);
    }
}

bool Node::hasEnded(std::string &how)
{
    if (pid <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) != pid) {
        return false;
    }
    how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit code " + std::to_string(WEXITSTATUS(status));
    pid = 0;
    return true;
}

void Node::kill()
{
    const pid_t old = pid.exchange(0);
    if (old > 0) {
        ::kill(old, SIGCONT);
        ::kill(old, SIGKILL);
        int status = 0;
        waitpid(old, &status, 0);
    }
}

std::uint64_t Node::residentKb() const
{
    std::ifstream file("/proc/" + std::to_string(pid.load()) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::strtoull(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

bool Node::isReady()
{
    const auto wire = Wire::connect(options.ip, options.ready);
    if (!wire) {
        return false;
    }
    const Answer answer =
        exchange(*wire, "GET /v1/readiness HTTP/1.1\r\nHost: " + options.ip + "\r\nConnection: close\r\n\r\n", 1000);
    return answer.status == 200;
}

bool Node::waitReady(double milliseconds)
{
    const double end = now() + milliseconds;
    while (now() < end) {
        if (isReady()) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

std::string requestText(const std::string &method, const std::string &host, const std::string &target,
                        const std::string &id, int deadlineMs, const Headers &more, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Egretpath-Attempt-Id: " + id
        + "\r\nX-Egretpath-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    for (const auto &field : more) {
        text += field.first + ": " + field.second + "\r\n";
    }
    if (!body.empty() || method == "POST" || method == "PUT") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

Answer readAnswer(Wire &wire, double timeoutMs)
{
    Answer answer;
    answer.sentAt = now();
    wire.setTimeout(timeoutMs);
    const bool isRead = wire.read(answer.message, true);
    answer.endedAt = now();
    if (!answer.message.startLine.empty()) {
        answer.status = std::atoi(answer.message.startLine.c_str() + 9);
    }
    answer.isWhole = isRead;
    if (!isRead) {
        answer.error = wire.wasReset ? "reset" : answer.endedAt - answer.sentAt >= timeoutMs - 5 ? "timeout" : "closed";
    }
    return answer;
}

Answer exchange(Wire &wire, const std::string &text, double timeoutMs)
{
    const double sentAt = now();
    if (!wire.send(text)) {
        Answer answer = readAnswer(wire, 200);
        answer.sentAt = sentAt;
        if (answer.status == 0) {
            answer.error = "the connection broke while the request was sent";
        }
        return answer;
    }
    Answer answer = readAnswer(wire, timeoutMs);
    answer.sentAt = sentAt;
    return answer;
}

std::uint64_t hashOf(const std::string &bytes)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char letter : bytes) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    }
    return hash;
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::scoped_lock lock(mutex);
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

int freePort(const std::vector<std::string> &ips)
{
    static std::set<int> given;
    static std::mt19937 random(std::random_device{}());
    while (true) {
        const int port = static_cast<int>(20000 + random() % 12000);
        bool isFree = given.insert(port).second;
        for (const std::string &ip : ips) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = addressOf(ip, port);
            isFree = isFree && bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(socket);
        }
        if (isFree) {
            return port;
        }
    }
}

std::string tempFolder()
{
    const char *folder = std::getenv("CASE_TEMP");
    return folder == nullptr ? "/tmp" : folder;
}

}
