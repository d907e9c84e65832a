#pragma once

#include <map>
#include <optional>
#include <string>

namespace Review
{

/// A head and its body as they arrived. Names of fields are in lower case.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const;
    /// The second word of the start line: the target of a request, the status of an answer.
    [[nodiscard]] std::string secondWord() const;
};

/// A blocking TCP socket. The destructor closes it.
class Socket
{
public:
    explicit Socket(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    [[nodiscard]] static Socket connectTo(const std::string &ip, int port);
    /// Returns an invalid socket if the address is taken.
    [[nodiscard]] static Socket listenAt(const std::string &ip, int port);
    [[nodiscard]] Socket accept() const;
    [[nodiscard]] bool isValid() const { return descriptor_ >= 0; }
    [[nodiscard]] bool send(const std::string &bytes) const;
    /// Reads one message. Nothing if the connection ends before its end.
    [[nodiscard]] std::optional<Message> read();
    /// Reads and drops all that arrives until the connection ends.
    void drain() const;
    /// The longest time for which one call waits to send or to receive bytes.
    void setTimeout(int milliseconds) const;

private:
    [[nodiscard]] bool readMore();

    int descriptor_;
    std::string buffer_;
};

[[nodiscard]] std::string base64(const std::string &bytes);

}
