#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "messages/bodybuffer.h"
#include "messages/heldmessages.h"

namespace Egretpath
{

/// The complete body of a request: one copy of its bytes, which all that send it share. Thread safety: none.
class RequestBody
{
public:
    RequestBody() = default;
    /// A body that counts nowhere.
    RequestBody(std::string text) // NOLINT(google-explicit-constructor): a text is a body.
        : RequestBody(std::make_shared<const std::string>(std::move(text)))
    {
    }
    RequestBody(std::shared_ptr<const void> owner, std::string_view view)
        : owner_(std::move(owner))
        , view_(view)
    {
    }

    /// Valid as long as a copy of the object exists.
    [[nodiscard]] std::string_view view() const { return view_; }
    [[nodiscard]] std::size_t size() const { return view_.size(); }

private:
    explicit RequestBody(std::shared_ptr<const std::string> text)
        : owner_(text)
        , view_(*text)
    {
    }

    std::shared_ptr<const void> owner_;
    std::string_view view_;
};

/// The body of a request while it comes, piece by piece. Its bytes count in HeldMessages until the last copy of the
/// complete body has gone. Thread safety: none.
class ReceivedBody : public std::enable_shared_from_this<ReceivedBody>
{
public:
    /// @p onGivenUp is called at most once, if the body is given up before it is complete. Its bytes are freed then.
    [[nodiscard]] static std::shared_ptr<ReceivedBody> begin(HeldMessages &messages, std::function<void()> onGivenUp);

    /// Returns @p text as a body that counts; nothing if there is no room for it.
    [[nodiscard]] static std::optional<RequestBody> hold(HeldMessages &messages, std::string text);

    /// Adds the next piece. Returns false if there is no room for it, or the body was given up.
    [[nodiscard]] bool append(std::string_view piece);
    /// Returns the complete body; nothing if it was given up. No piece may follow.
    [[nodiscard]] std::optional<RequestBody> complete();

private:
    std::unique_ptr<HeldMessage> held_;
    BodyBuffer buffer_;
};

}
