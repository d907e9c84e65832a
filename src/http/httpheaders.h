#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Egretpath
{

/// One header field as it stood on the wire, without the white space around its value.
struct HttpHeader
{
    std::string name;
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/// The header fields of one message in their order; names compare without regard to case.
///
/// Thread safety: none; const access may be shared.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    /// Appends a field. Precondition: none; the sender refuses names and values that no message may carry.
    void add(std::string name, std::string value);
    /// Replaces all fields called @p name by one.
    void set(std::string_view name, std::string value);
    /// Removes all fields called @p name.
    void remove(std::string_view name);
    /// Removes the fields that concern one connection only, also those that Connection names (RFC 9110, 7.6.1).
    /// Call it on what is passed on from one connection to another.
    void removeHopByHop();

    /// The value of the first field called @p name; it stays valid until the list changes.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] bool contains(std::string_view name) const { return find(name).has_value(); }

    [[nodiscard]] std::size_t size() const { return fields_.size(); }
    [[nodiscard]] bool empty() const { return fields_.empty(); }
    [[nodiscard]] auto begin() const { return fields_.begin(); }
    [[nodiscard]] auto end() const { return fields_.end(); }

private:
    std::vector<HttpHeader> fields_;
};

/// Whether two names of header fields are the same. Thread safety: safe.
[[nodiscard]] bool sameHeaderName(std::string_view left, std::string_view right);

}
