#include "transport/handshake.h"

#include "wisteriashunt/errors.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace wisteriashunt
{

namespace
{

constexpr std::size_t nonceBytes = 16;

std::string hmacHex(const std::string &secret, const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest.data(),
         &length);
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(digest.data()), length));
}

std::string transcript(const char *side, const hello &dialler, const welcome &acceptor)
{
    // Fields are separated by line breaks, which no field can contain: names are validated and nonces are hexadecimal.
    return absl::StrCat(side,
                        "\n",
                        protocolVersion,
                        "\n",
                        dialler.instance,
                        "\n",
                        dialler.incarnation,
                        "\n",
                        dialler.nonce,
                        "\n",
                        acceptor.instance,
                        "\n",
                        acceptor.endpointName,
                        "\n",
                        acceptor.incarnation,
                        "\n",
                        acceptor.nonce);
}

} // namespace

std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw shunt_error(error_kind::peer_rejected, "cannot generate a nonce: RAND_bytes failed");
    }
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

std::string makeAcceptorProof(const peer_key &key, const hello &dialler, const welcome &acceptor)
{
    return hmacHex(key.secret, transcript("acceptor", dialler, acceptor));
}

std::string makeDiallerProof(const peer_key &key, const hello &dialler, const welcome &acceptor)
{
    return hmacHex(key.secret, transcript("dialler", dialler, acceptor));
}

bool isSameProof(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

const peer_key *findKey(const std::vector<peer_key> &keys, const std::string &name)
{
    const auto found = std::find_if(keys.begin(), keys.end(), [&](const peer_key &key) { return key.name == name; });
    return found == keys.end() ? nullptr : &*found;
}

} // namespace wisteriashunt
