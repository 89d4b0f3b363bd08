// Fuzz target: documents of the store's rows. A malformed one must give an error; an exception
// would end the control thread.
#include "gentianplank/platform/documents.h"
#include "gentianplank/target/group_record.h"
#include "gentianplank/vm/fleet_records.h"

using namespace gentianplank;

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view json(reinterpret_cast<const char *>(data), size);
    platform::decodeConfiguration(json);
    platform::decodeMemberEntry("i-1", json);
    decodeGroupRecord(json);
    decodeVmRecord(json);
    decodeDutyRecord(json);
    return 0;
}
