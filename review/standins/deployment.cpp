#include "deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr int CallersPort = 4;
constexpr int ReadyPort = 2;
constexpr int UpstreamPort = 1;
constexpr int PeersPort = 5;
constexpr int StartersPort = 6;
constexpr int MetricsPort = 7;
constexpr int StorePort = 9;
constexpr int Decimal = 10;

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t begin = target.find(name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t valueBegin = begin + name.size() + 1;
    return target.substr(valueBegin, target.find('&', valueBegin) - valueBegin);
}

std::string response(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

}

void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

void Record::write(const std::string &line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", now());
    const std::lock_guard lock(mutex_);
    file_ << time.data() << line << std::endl;
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - start_).count();
}

bool Store::listen(const std::string &ip, int port)
{
    auto listener = std::make_shared<Socket>(Socket::listenAt(ip, port));
    if (!listener->isValid()) {
        return false;
    }
    std::thread([this, listener] {
        while (true) {
            Socket accepted = listener->accept();
            if (accepted.isValid()) {
                std::thread([this, socket = std::make_shared<Socket>(std::move(accepted))] {
                    serve(std::move(*socket));
                }).detach();
            }
        }
    }).detach();
    return true;
}

void Store::put(const std::string &key, const std::string &value)
{
    change(key, Item{value, 0, false});
}

void Store::change(const std::string &key, Item item)
{
    const std::lock_guard lock(mutex_);
    item.revision = ++revision_;
    items_[key] = std::move(item);
    changed_.notify_all();
}

void Store::loseAnswers(bool shouldLose)
{
    const std::lock_guard lock(mutex_);
    isLosing_ = shouldLose;
    record_.write(shouldLose ? "store: answers are lost from now on" : "store: no answer is lost from now on");
}

std::string Store::lostText()
{
    const std::lock_guard lock(mutex_);
    return std::to_string(lost_) + " of " + std::to_string(answers_);
}

void Store::serve(Socket socket)
{
    while (const auto message = socket.read()) {
        const std::optional<std::string> text = answer(message->secondWord());
        if (!text) {
            // The store works on, but this connection returns nothing further.
            socket.drain();
            return;
        }
        if (!socket.send(*text)) {
            return;
        }
    }
}

std::optional<std::string> Store::answer(const std::string &target)
{
    const std::string prefix = parameter(target, "prefix");
    std::optional<std::string> body;
    if (target.starts_with("/v1/kv-range")) {
        body = range(prefix);
    } else if (target.starts_with("/v1/kv-watch")) {
        const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, Decimal);
        const Milliseconds wait(std::strtol(parameter(target, "wait_ms").c_str(), nullptr, Decimal));
        body = watch(prefix, after, wait);
    } else {
        return response("404 Not Found", "", "");
    }
    if (!body) {
        return std::nullopt;
    }
    return response("200 OK", "Content-Type: application/json\r\n", *body);
}

std::string Store::range(const std::string &prefix)
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto &[key, item] : items_) {
        if (key.starts_with(prefix) && !item.isRemoved) {
            text += (text.empty() ? "" : ",") + std::string(R"({"key":)") + quoted(key) + R"(,"value":)"
                + quoted(base64(item.value)) + R"(,"revision":)" + std::to_string(item.revision) + R"(,"created_at":)"
                + std::to_string(item.revision) + R"(,"lease":0})";
        }
    }
    answers_ += isLosing_ ? 1 : 0;
    return R"({"items":[)" + text + R"(],"has_more":false,"at":)" + std::to_string(revision_) + "}";
}

std::optional<std::string> Store::watch(const std::string &prefix, std::uint64_t after, Milliseconds wait)
{
    std::unique_lock lock(mutex_);
    const auto isNew = [&](const auto &entry) {
        return entry.first.starts_with(prefix) && entry.second.revision > after;
    };
    changed_.wait_for(lock, wait, [&] { return std::any_of(items_.begin(), items_.end(), isNew); });
    std::vector<std::pair<std::string, Item>> events;
    std::copy_if(items_.begin(), items_.end(), std::back_inserter(events), isNew);
    std::sort(events.begin(), events.end(),
              [](const auto &left, const auto &right) { return left.second.revision < right.second.revision; });
    std::string text;
    for (const auto &[key, item] : events) {
        text += (text.empty() ? "" : ",") + std::string(R"({"key":)") + quoted(key) + R"(,"revision":)"
            + std::to_string(item.revision);
        text += item.isRemoved ? R"(,"deleted":true})"
                               : R"(,"created_at":)" + std::to_string(item.revision) + R"(,"lease":0,"value":)"
                + quoted(base64(item.value)) + "}";
    }
    answers_ += isLosing_ ? 1 : 0;
    if (isLosing_ && !events.empty()) {
        ++lost_;
        record_.write("store: the answer to a watch of " + prefix + " is lost");
        return std::nullopt;
    }
    return R"({"events":[)" + text + R"(],"at":)" + std::to_string(revision_) + "}";
}

bool Instance::listen(const std::string &ip, int port)
{
    auto listener = std::make_shared<Socket>(Socket::listenAt(ip, port));
    if (!listener->isValid()) {
        return false;
    }
    std::thread([this, listener] {
        while (true) {
            Socket accepted = listener->accept();
            if (accepted.isValid()) {
                std::thread([this, socket = std::make_shared<Socket>(std::move(accepted))] {
                    serve(std::move(*socket));
                }).detach();
            }
        }
    }).detach();
    return true;
}

void Instance::serve(Socket socket)
{
    while (const auto message = socket.read()) {
        if (!socket.send(answerTo(*message))) {
            return;
        }
    }
}

std::string Instance::answerTo(const Message &message)
{
    const std::string load = "X-Egretpath-Instance-Load: " + std::to_string(running_) + ",0,9,100\r\n";
    const std::string request = message.field("x-egretpath-attempt-id");
    if (message.secondWord() == "/health") {
        return response("200 OK", "X-Egretpath-Instance-Id: " + id_ + "\r\n" + load, "");
    }
    const std::string target = message.field("x-egretpath-target-instance");
    const std::string echo = "X-Egretpath-Attempt-Id: " + request + "\r\n";
    if (!target.empty() && target != id_) {
        return response("421 Misdirected Request", echo + "X-Egretpath-Instance-Id: " + id_ + "\r\n", "");
    }
    const std::string caller = message.field("x-egretpath-caller-service");
    record_.write("run: " + request + " at " + id_ + " of service " + service_ + ", caller service " + caller);
    std::size_t place = 0;
    {
        const std::lock_guard lock(mutex_);
        place = runs_.size();
        runs_.push_back({request, id_, service_, caller, record_.now(), 0.0});
    }
    ++running_;
    sleepFor(work_);
    --running_;
    {
        const std::lock_guard lock(mutex_);
        runs_[place].end = record_.now();
    }
    return response("200 OK", echo + "X-Egretpath-Server-Signature: " + id_ + "." + request + "\r\n" + load,
                    "ran " + request);
}

std::vector<Run> Instance::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

Deployment::Deployment(Record &record, std::string program, std::string folder)
    : record_(record)
    , program_(std::move(program))
    , folder_(std::move(folder))
    , store_(record)
{
}

void Deployment::stopNodes()
{
    for (Machine &machine : machines_) {
        if (machine.node > 0) {
            ::kill(machine.node, SIGKILL);
            ::waitpid(machine.node, nullptr, 0);
            machine.node = 0;
        }
    }
}

/// Chooses loopback addresses and ports of which the first is free.
bool Deployment::chooseNetwork()
{
    constexpr int Tries = 50;
    for (int attempt = 0; attempt < Tries; ++attempt) {
        const int number = static_cast<int>(::getpid()) + attempt * 37;
        network_ = "127." + std::to_string(100 + number % 100) + "." + std::to_string(1 + number / 100 % 200) + ".";
        basePort_ = 20000 + number % 800 * 10;
        if (store_.listen(network_ + "250", basePort_ + StorePort)) {
            return true;
        }
    }
    return false;
}

bool Deployment::start(const std::vector<std::string> &services)
{
    if (!chooseNetwork()) {
        return false;
    }
    for (std::size_t number = 0; number < services.size(); ++number) {
        Machine &machine = machines_.emplace_back();
        machine.name = "sidecar-" + std::to_string(number + 1);
        machine.ip = network_ + std::to_string(number + 1);
        machine.zone = number % 2 == 0 ? "waw-a" : "waw-b";
        machine.service = services[number];
        machine.instanceId = "i-" + std::to_string(number + 1) + "a";
    }
    for (Machine &machine : machines_) {
        if (!startInstance(machine)) {
            return false;
        }
        writeSettings(machine);
        if (!startNode(machine)) {
            return false;
        }
    }
    return waitUntilReady();
}

bool Deployment::startInstance(Machine &machine)
{
    machine.instance = std::make_shared<Instance>(record_, machine.instanceId, machine.service);
    instances_.push_back(machine.instance);
    if (!machine.instance->listen(machine.ip, basePort_ + UpstreamPort)) {
        return false;
    }
    registerInstance(machine);
    return true;
}

void Deployment::registerInstance(const Machine &machine)
{
    store_.put("servers/" + machine.instanceId,
               R"({"service":)" + quoted(machine.service) + R"(,"address":)"
                   + quoted(machine.ip + ":" + std::to_string(basePort_ + UpstreamPort)) + R"(,"zone":)"
                   + quoted(machine.zone)
                   + R"(,"version":"v1","slots":9,"state":"ready","warmup_remaining":"0ms","sequence":1})");
}

void Deployment::putRoutes(unsigned version, const std::vector<Route> &routes)
{
    std::string rules;
    for (const Route &route : routes) {
        rules += (rules.empty() ? "" : ",") + std::string(R"({"name":)") + quoted("r" + route.prefix) + R"(,"kind":)"
            + quoted(route.kind) + R"(,"target_latency":"400ms","priority":1,"match":{"prefix":)" + quoted(route.prefix)
            + R"(},"action":{"service":)" + quoted(route.service) + R"(,"timeout":"2500ms","max_attempts":2}})";
    }
    std::string clusters;
    for (const char *service : {"alpha", "beta"}) {
        clusters += (clusters.empty() ? "" : ",") + std::string(R"({"name":)") + quoted(service)
            + R"(,"health_check_path":"/health","max_connections":220,"protocol":"h1","tls":false})";
    }
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", version);
    store_.put("op/config",
               R"({"version":)" + quoted(text.data())
                   + R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",)"
                   + R"("idle_timeout":"15000ms"},"listeners":[{"hostname":"hulo84.example","rules":[)" + rules
                   + R"(]}],"clusters":[)" + clusters + "]}");
    record_.write("operator: the store has accepted version " + std::string(text.data()));
}

std::string Deployment::settingsPath(const Machine &machine) const
{
    return folder_ + "/" + machine.name + ".toml";
}

/// As the template of the deploy file makes them.
void Deployment::writeSettings(const Machine &machine)
{
    const auto at = [&](int port) { return quoted(machine.ip + ":" + std::to_string(basePort_ + port)); };
    std::ostringstream text;
    text << "[node]\nname = " << quoted(machine.name) << "\nservice = " << quoted(machine.service)
         << "\nregion = \"mazowsze\"\nzone = " << quoted(machine.zone) << "\n\n[listen]\ncallers = " << at(CallersPort)
         << "\nready = " << at(ReadyPort) << "\npeers = " << at(PeersPort) << "\nstarters = " << at(StartersPort)
         << "\nmetrics = " << at(MetricsPort) << "\n\n[upstream]\naddress = " << at(UpstreamPort)
         << "\n\n[platform]\nstore = " << quoted(network_ + "250:" + std::to_string(basePort_ + StorePort))
         << "\n\n[peers]\nseeds = [" << quoted(network_ + "1:" + std::to_string(basePort_ + StartersPort)) << ", "
         << quoted(network_ + "2:" + std::to_string(basePort_ + StartersPort))
         << "]\n\n[zones]\n\"waw-a\" = \"mazowsze\"\n\"waw-b\" = \"mazowsze\"\n\n[repeats]\nratio = 0.2\n"
         << "slack = 56\n\n[limits]\nlink_mbps = 1000.0\nmemory_mb = 260\n\n[stop]\ngrace = \"6s\"\n\n"
         << "[log]\ndecisions_per_second = 200\n";
    const std::string path = settingsPath(machine);
    std::ofstream(path + ".new") << text.str();
    std::rename((path + ".new").c_str(), path.c_str());
}

bool Deployment::startNode(Machine &machine)
{
    const std::string log = folder_ + "/" + machine.name + ".log";
    const std::string variable = "EGRETPATH_CONFIG=" + settingsPath(machine);
    const pid_t parent = ::getpid();
    machine.node = ::fork();
    if (machine.node == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        std::string path = "PATH=/usr/bin:/bin";
        std::string settings = variable;
        std::string program = program_;
        std::array<char *, 2> arguments{program.data(), nullptr};
        std::array<char *, 3> environment{settings.data(), path.data(), nullptr};
        if (::getppid() == parent) {
            ::execve(program.c_str(), arguments.data(), environment.data());
        }
        ::_exit(127);
    }
    return machine.node > 0;
}

bool Deployment::isReady(const Machine &machine) const
{
    constexpr int Patience = 500;
    Socket socket = Socket::connectTo(machine.ip, basePort_ + ReadyPort);
    if (!socket.isValid()
        || !socket.send("GET /v1/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    socket.setTimeout(Patience);
    const auto answer = socket.read();
    return answer && answer->secondWord() == "200";
}

bool Deployment::waitUntilReady()
{
    constexpr int Tries = 200;
    for (int attempt = 0; attempt < Tries; ++attempt) {
        if (std::all_of(machines_.begin(), machines_.end(),
                        [this](const Machine &machine) { return isReady(machine); })) {
            return true;
        }
        sleepFor(Milliseconds{50});
    }
    return false;
}

void Deployment::restartAfterEnd(Machine &machine)
{
    constexpr Milliseconds RestartDelay{500};
    ::waitpid(machine.node, nullptr, 0);
    machine.node = 0;
    record_.write("platform: the node on " + machine.name + " has ended");
    sleepFor(RestartDelay);
    if (startNode(machine)) {
        record_.write("platform: the node on " + machine.name + " is started again");
    }
}

void Deployment::signal(const Machine &machine, int number)
{
    if (machine.node > 0) {
        ::kill(machine.node, number);
    }
}

std::uint64_t Deployment::memoryOf(const Machine &machine)
{
    constexpr std::uint64_t Kilobyte = 1024;
    std::ifstream file("/proc/" + std::to_string(machine.node) + "/status");
    std::string word;
    while (file >> word) {
        if (word == "RssAnon:") {
            std::uint64_t kilobytes = 0;
            file >> kilobytes;
            return kilobytes * Kilobyte;
        }
    }
    return 0;
}

Socket Deployment::connectToNode(const Machine &machine) const
{
    return Socket::connectTo(machine.ip, basePort_ + CallersPort);
}

Answer Deployment::request(const Machine &machine, const std::string &method, const std::string &path,
                           const std::string &id, const std::string &body)
{
    Socket socket = connectToNode(machine);
    return requestOn(socket, machine, method, path, id, body);
}

Answer Deployment::requestOn(Socket &socket, const Machine &machine, const std::string &method, const std::string &path,
                             const std::string &id, const std::string &body)
{
    constexpr int DeadlineMilliseconds = 3000;
    Answer answer;
    record_.write("sent: " + id + " " + method + " " + path + " to " + machine.name
                  + (body.empty() ? "" : ", body of " + std::to_string(body.size()) + " bytes"));
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: hulo84.example\r\nX-Egretpath-Attempt-Id: " + id
        + "\r\nX-Egretpath-Deadline-Ms: " + std::to_string(DeadlineMilliseconds) + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    // A consumer waits until its deadline, and a little longer for an answer that is on its way.
    constexpr int Patience = 100;
    socket.setTimeout(DeadlineMilliseconds + Patience);
    if (socket.isValid() && socket.send(text + "\r\n") && (body.empty() || socket.send(body))) {
        if (const auto message = socket.read()) {
            answer = {message->secondWord(), message->field("x-egretpath-server-signature"), true};
        }
    }
    record_.write("answered: " + id + " "
                  + (answer.isWhole ? answer.status + " " + answer.signature : "nothing, the connection ended"));
    return answer;
}

std::vector<Run> Deployment::allRuns()
{
    std::vector<Run> all;
    for (const auto &instance : instances_) {
        const std::vector<Run> runs = instance->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

}
