/// Mutual authentication of entry and endpoint processes with shared keys.
#pragma once

#include "wisteriashunt/messages.h"

#include <string>
#include <vector>

namespace wisteriashunt
{

/// A shared key. A process dials with the first of its keys and accepts all of them, so keys can be rotated without downtime in three steps:
/// append the new key everywhere, move it to the front everywhere, remove the old key everywhere.
struct peer_key
{
    std::string name;
    std::string secret;

    auto operator<=>(const peer_key &) const = default;
};

/// Returns 16 random bytes from the operating system, in hexadecimal.
[[nodiscard]] std::string makeNonce();

/// Returns the proof of the accepting side: an HMAC-SHA-256, in hexadecimal, over the protocol version, both
/// identities and both nonces.
[[nodiscard]] std::string makeAcceptorProof(const peer_key &key, const hello &dialler, const welcome &acceptor);

/// Returns the proof of the dialling side over the same fields. The proofs of the two sides differ, so that neither can be
/// replayed as the other.
[[nodiscard]] std::string makeDiallerProof(const peer_key &key, const hello &dialler, const welcome &acceptor);

/// Compares in constant time.
[[nodiscard]] bool isSameProof(const std::string &a, const std::string &b);

/// Returns the key with the name, or nullptr.
[[nodiscard]] const peer_key *findKey(const std::vector<peer_key> &keys, const std::string &name);

} // namespace wisteriashunt
