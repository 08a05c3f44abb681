#include "random_id.hpp"

#include <openssl/rand.h>

#include <array>

#include "masticgrade/base/base64url.hpp"
#include "masticgrade/base/error.hpp"

namespace masticgrade {

std::string make_random_id() {
    constexpr std::size_t id_bytes = 16;
    std::array<unsigned char, id_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw error("random", "", "OpenSSL gives no random bytes");
    }
    return encode_base64url({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

}  // namespace masticgrade
