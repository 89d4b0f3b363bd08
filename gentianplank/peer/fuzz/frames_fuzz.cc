// Fuzz target: a frame of another VM. Aborts if a frame that was accepted does not survive being
// encoded and parsed again, as a relay of its fields would need.
#include "gentianplank/peer/proto/peer.pb.h"

#include <cstdint>
#include <cstdlib>

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    gentianplank::peer::v1::Frame frame;
    if (!frame.ParseFromArray(data, static_cast<int>(size))) {
        return 0;
    }
    const std::string bytes = frame.SerializeAsString();
    gentianplank::peer::v1::Frame copy;
    if (!copy.ParseFromString(bytes) || copy.SerializeAsString() != bytes) {
        std::abort();
    }
    return 0;
}
