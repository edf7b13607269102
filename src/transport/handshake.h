/// Mutual authentication of two of our own processes with shared keys.
#pragma once

#include "wisteriashunt/messages.h"

#include <string>
#include <vector>

namespace wisteriashunt
{

/// A shared key. Processes dial with their first key and accept any of theirs, so that keys can be rotated in three steps without a stop.
struct peer_key
{
    std::string name;
    std::string secret;

    auto operator<=>(const peer_key &) const = default;
};

/// Returns 16 random bytes from the operating system, in hexadecimal.
[[nodiscard]] std::string makeNonce();

/// Proof of the accepting side over both nonces and both identities.
[[nodiscard]] std::string makeAcceptorProof(const peer_key &key, const hello &dialler, const welcome &acceptor);

/// Proof of the dialling side over both nonces and both identities.
[[nodiscard]] std::string makeDiallerProof(const peer_key &key, const hello &dialler, const welcome &acceptor);

/// Compares in constant time.
[[nodiscard]] bool isSameProof(const std::string &a, const std::string &b);

/// Returns the key with the name, or nullptr.
[[nodiscard]] const peer_key *findKey(const std::vector<peer_key> &keys, const std::string &name);

} // namespace wisteriashunt
