#include "node/vmlistreader.h"

#include <utility>

#include "membership/vmlist.h"

namespace Egretpath
{

namespace asio = boost::asio;

VmListReader::VmListReader(Blackboard &board, PlatformClient &platform, VmListStore &store)
    : board_(board)
    , platform_(platform)
    , store_(store)
{
}

asio::awaitable<SourceReading> VmListReader::read(std::string value)
{
    if (isVmListHead(value)) {
        co_return co_await readParts(std::move(value));
    }
    // Watches and looks bring the same list again and again; parsing it each time would be most of a reader's work.
    const Digest digest = digestOf(value);
    if (!lastVersion_ || digest != lastValue_) {
        const SourceReading reading = load(value);
        lastValue_ = digest;
        lastVersion_ = reading.version;
        co_return reading;
    }
    SourceReading same;
    same.version = lastVersion_;
    co_return same;
}

asio::awaitable<SourceReading> VmListReader::readParts(std::string headText)
{
    SourceReading reading;
    const std::optional<VmListHead> head = parseVmListHead(headText);
    if (!head) {
        refuse("the head must be 'parts N' with 1 to 16 parts, then the version alone on the second line");
        co_return reading;
    }
    const std::optional<TableVersion> held = store_.currentVersion();
    if (held && head->version <= held->number.value()) {
        // The head names no digest. An older number confirms nothing; the same one is taken for the same list.
        const bool isSame = head->version == held->number.value();
        reading.version = isSame ? *held : TableVersion{TableNumber(head->version), Digest{}};
        co_return reading;
    }
    const PlatformResult<std::string> text = co_await joinParts(*head);
    if (!text) {
        reading.failure = text.error();
        co_return reading;
    }
    co_return load(text.value(), head->version);
}

asio::awaitable<PlatformResult<std::string>> VmListReader::joinParts(VmListHead head)
{
    std::string text;
    for (std::size_t part = 0; part < head.parts; ++part) {
        const PlatformKey key(vmListPartKey(board_.settings.platform.vmsKey, part, head.version));
        const auto value = co_await platform_.read(key);
        if (!value) {
            co_return value.error();
        }
        text += value.value().value;
    }
    co_return text;
}

SourceReading VmListReader::load(const std::string &text, std::optional<std::uint64_t> expectedVersion)
{
    SourceReading reading;
    VmListParse parse = parseVmList(text);
    if (!parse.list) {
        const VmListProblem &problem = parse.problems.front();
        refuse("line " + std::to_string(problem.line) + ": " + problem.message);
        return reading;
    }
    if (expectedVersion && parse.list->version != *expectedVersion) {
        refuse("the parts hold version " + std::to_string(parse.list->version) + ", the head names "
               + std::to_string(*expectedVersion));
        return reading;
    }
    refusedList_.clear();
    reading.version = VmListStore::versionOf(*parse.list);
    reading.loaded = store_.load(std::move(*parse.list));
    return reading;
}

void VmListReader::refuse(std::string why)
{
    if (why == refusedList_) {
        return;
    }
    refusedList_ = std::move(why);
    board_.metrics.count("egretpath_vm_lists_refused_total");
    board_.log.error(StructuredLine("vm-list-refused").add("problem", refusedList_));
}

}
