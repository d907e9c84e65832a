#include "node/vmlistcontroller.h"

#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "distribution/vmlistsettings.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds StepInterval{50};
constexpr Milliseconds SeedRequestLimit{1000};
/// A node without a list asks one seed, drawn at random, each time this has passed.
constexpr Milliseconds SeedInterval{100};
/// A new list takes some 60 ms of processor time at 22,000 VMs for the directory and the view. A zone that fails
/// changes the list many times in a second, and building them each time would take the node's core.
constexpr Milliseconds DirectoryInterval{1000};
/// What starting nodes may take from this one as a seed: five lists of 22,000 VMs at once, then one in 6 s.
constexpr Bytes StarterBytesPerSecond{std::uint64_t{256} * 1024};
constexpr Bytes StarterBurst{std::uint64_t{8} * 1024 * 1024};

ExchangeDriverSettings driverSettings(const PlatformSettings &platform)
{
    ExchangeDriverSettings settings;
    settings.subject = ExchangeSubject::VmList;
    settings.key = PlatformKey(platform.vmsKey);
    settings.exchange = vmListExchangeSettings();
    settings.readers = vmListReaderSettings(platform.pollInterval);
    return settings;
}

}

VmListController::VmListController(asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                                   PlatformClient &platform, std::function<void()> listChanged)
    : executor_(executor)
    , board_(board)
    , peers_(peers)
    , listChanged_(std::move(listChanged))
    , reader_(board, platform, store_)
    , driver_(std::move(executor), board, peers, platform, store_, *this, driverSettings(board.settings.platform))
    , starterBudget_(StarterBytesPerSecond, StarterBurst, currentTime())
    , nextSeedAt_(currentTime())
{
    driver_.exchange().setInForce(true);
}

asio::awaitable<void> VmListController::run()
{
    asio::steady_timer timer(executor_);
    while (true) {
        const TimePoint now = currentTime();
        driver_.step(now);
        askSeedIfNeeded(now);
        timer.expires_after(StepInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::string VmListController::textForStarter()
{
    if (!store_.currentVersion()) {
        return {};
    }
    std::string text = store_.whole();
    // Many starting nodes share few seeds. One that gets nothing here asks another seed, then the platform.
    return starterBudget_.tryTake(Bytes(text.size()), currentTime()) ? std::move(text) : std::string();
}

asio::awaitable<SourceReading> VmListController::valueRead(std::string value)
{
    return reader_.read(std::move(value));
}

void VmListController::storeChanged()
{
    const std::optional<TableVersion> held = store_.currentVersion();
    const TimePoint now = currentTime();
    const bool isDue = !usedVersion_ || now - usedAt_ >= DirectoryInterval;
    // What is not due yet is put into use by a later step.
    if (held && held != usedVersion_ && isDue) {
        putIntoUse(*held, now);
    }
}

void VmListController::putIntoUse(const TableVersion &version, TimePoint now)
{
    usedVersion_ = version;
    usedAt_ = now;
    board_.membership.applyList(store_.list(), now);
    board_.directory = std::make_shared<PeerDirectory>(store_.list());
    driver_.directoryChanged();
    StructuredLine line("vm-list");
    line.add("version", version.number.value()).add("digest", toHex(version.digest));
    line.add("vms", std::uint64_t{store_.list().records.size()});
    board_.log.info(line);
    listChanged_();
}

void VmListController::askSeedIfNeeded(TimePoint now)
{
    const std::vector<Endpoint> &seeds = board_.settings.peers.seeds;
    if (store_.currentVersion() || seeds.empty() || now < nextSeedAt_) {
        return;
    }
    nextSeedAt_ = now + SeedInterval;
    std::uniform_int_distribution<std::size_t> anySeed(0, seeds.size() - 1);
    asio::co_spawn(executor_, askSeed(seeds[anySeed(board_.random)]), asio::detached);
}

asio::awaitable<void> VmListController::askSeed(Endpoint seed)
{
    const Result<std::string> text = co_await peers_.vmList(std::move(seed), currentTime() + SeedRequestLimit);
    if (text && !text.value().empty() && !store_.currentVersion()) {
        [[maybe_unused]] const SourceReading reading = reader_.load(text.value());
        storeChanged();
    }
}

}
