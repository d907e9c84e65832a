#include "messages/receivedbody.h"

#include <utility>

namespace Egretpath
{

std::shared_ptr<ReceivedBody> ReceivedBody::begin(HeldMessages &messages, std::function<void()> onGivenUp)
{
    auto body = std::make_shared<ReceivedBody>();
    body->held_ = messages.begin([weak = std::weak_ptr<ReceivedBody>(body), onGivenUp = std::move(onGivenUp)] {
        if (const auto locked = weak.lock()) {
            locked->buffer_.clear();
        }
        onGivenUp();
    });
    return body;
}

std::optional<RequestBody> ReceivedBody::hold(HeldMessages &messages, std::string text)
{
    struct CountedText
    {
        std::string text;
        std::unique_ptr<HeldMessage> held;
    };
    auto counted = std::make_shared<CountedText>();
    counted->text = std::move(text);
    counted->held = messages.begin([] {});
    if (!counted->held->grow(Bytes(counted->text.size())) || !counted->held->stopYielding()) {
        return std::nullopt;
    }
    return RequestBody(counted, counted->text);
}

bool ReceivedBody::append(std::string_view piece)
{
    if (!held_->grow(Bytes(piece.size()))) {
        return false;
    }
    buffer_.append(piece);
    return true;
}

std::optional<RequestBody> ReceivedBody::complete()
{
    if (!held_->stopYielding()) {
        return std::nullopt;
    }
    return RequestBody(shared_from_this(), buffer_.view());
}

}
