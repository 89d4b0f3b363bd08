#include "gentianplank/base/digest.h"

#include <sodium.h>

#include <array>
#include <cstdint>

namespace gentianplank {

namespace {

const unsigned char *bytesOf(std::string_view value)
{
    return reinterpret_cast<const unsigned char *>(value.data());
}

std::string hashWith(std::string_view payload, std::string_view secret)
{
    std::string digest(DigestBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(digest.data()), digest.size(),
                       bytesOf(payload), payload.size(), bytesOf(secret), secret.size());
    return digest;
}

} // namespace

std::string keyDigest(std::string_view key)
{
    return hashWith(key, {});
}

std::string signPayload(std::string_view payload, std::string_view secret)
{
    const bool hasSupportedSize = secret.size() >= crypto_generichash_KEYBYTES_MIN &&
                                  secret.size() <= crypto_generichash_KEYBYTES_MAX;
    return hasSupportedSize ? hashWith(payload, secret) : hashWith(payload, hashWith(secret, {}));
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

struct RunningDigest::State
{
    crypto_generichash_state hash;
};

RunningDigest::RunningDigest()
    : m_state(std::make_unique<State>())
{
    crypto_generichash_init(&m_state->hash, nullptr, 0, DigestBytes);
}

RunningDigest::RunningDigest(const RunningDigest &other)
    : m_state(std::make_unique<State>(*other.m_state))
{}

RunningDigest &RunningDigest::operator=(const RunningDigest &other)
{
    if (this != &other) {
        m_state = std::make_unique<State>(*other.m_state);
    }
    return *this;
}

RunningDigest::RunningDigest(RunningDigest &&) noexcept = default;
RunningDigest &RunningDigest::operator=(RunningDigest &&) noexcept = default;
RunningDigest::~RunningDigest() = default;

void RunningDigest::add(std::string_view value)
{
    std::array<unsigned char, sizeof(uint64_t)> length{};
    uint64_t rest = value.size();
    for (unsigned char &it : length) {
        it = static_cast<unsigned char>(rest & 0xFFU);
        rest >>= 8U;
    }
    crypto_generichash_update(&m_state->hash, length.data(), length.size());
    crypto_generichash_update(&m_state->hash, bytesOf(value), value.size());
}

std::string RunningDigest::value() const
{
    State copy = *m_state;
    std::string digest(DigestBytes, '\0');
    crypto_generichash_final(&copy.hash, reinterpret_cast<unsigned char *>(digest.data()),
                             digest.size());
    return digest;
}

} // namespace gentianplank
