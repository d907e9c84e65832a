#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Egretpath
{

/// One header field as on the wire, without the white space around its value.
struct HttpHeader
{
    std::string name;
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/// The header fields of one message in their original order; names are compared case-insensitively.
///
/// Thread safety: none; const access may be shared.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    /// Appends a field. Precondition: none; invalid names and values are rejected when the message is written.
    void add(std::string name, std::string value);
    /// Replaces all fields named @p name by one field.
    void set(std::string_view name, std::string value);
    /// Removes all fields named @p name.
    void remove(std::string_view name);
    /// Removes the hop-by-hop fields, which apply to one connection only, and the fields that Connection lists
    /// (RFC 9110, 7.6.1). Call it on headers that are forwarded from one connection to another.
    void removeHopByHop();

    /// The value of the first field named @p name. The view stays valid until the fields change.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] bool contains(std::string_view name) const { return find(name).has_value(); }

    [[nodiscard]] std::size_t size() const { return fields_.size(); }
    [[nodiscard]] bool empty() const { return fields_.empty(); }
    [[nodiscard]] auto begin() const { return fields_.begin(); }
    [[nodiscard]] auto end() const { return fields_.end(); }

private:
    std::vector<HttpHeader> fields_;
};

/// Whether two header field names are equal, compared case-insensitively. Thread safety: safe.
[[nodiscard]] bool isSameHeaderName(std::string_view left, std::string_view right);

}
