#include "crowds/crowd.h"

#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds PauseWithoutProgress{2};
/// A crowd of which nobody could send for so long is spent.
constexpr Milliseconds SpentAfter{600};
constexpr Milliseconds LongestWait{9000};

}

Crowd::Crowd(Endpoint target, std::size_t clients, CrowdMessage message)
    : target_(std::move(target))
    , message_(std::move(message))
    , returns_(clients, 0)
{
    for (std::size_t number = 0; number < clients; ++number) {
        clients_.push_back(std::make_unique<CrowdClient>(target_, message_));
    }
    thread_ = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
    leave();
}

void Crowd::waitUntilSpent() const
{
    const TimePoint end = currentTime() + LongestWait;
    while (!isSpent_ && currentTime() < end) {
        std::this_thread::sleep_for(PauseWithoutProgress);
    }
}

void Crowd::leave()
{
    isLeaving_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
    clients_.clear();
}

void Crowd::run()
{
    TimePoint lastProgress = currentTime();
    while (!isLeaving_) {
        const bool hasProgress = advanceAll();
        const TimePoint now = currentTime();
        lastProgress = hasProgress ? now : lastProgress;
        isSpent_ = now - lastProgress > SpentAfter;
        if (!hasProgress) {
            std::this_thread::sleep_for(PauseWithoutProgress);
        }
    }
}

bool Crowd::advanceAll()
{
    bool hasProgress = false;
    for (std::size_t number = 0; number < clients_.size(); ++number) {
        hasProgress = clients_[number]->advance() || hasProgress;
        if (clients_[number]->isClosed() && returns_[number] < MaxReturns) {
            ++returns_[number];
            clients_[number] = std::make_unique<CrowdClient>(target_, message_);
            hasProgress = true;
        }
    }
    return hasProgress;
}

}
