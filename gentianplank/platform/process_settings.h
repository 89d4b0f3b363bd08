// The settings file that the platform gives a process.
#pragma once

#include "gentianplank/settings/entry_vm_settings.h"
#include "gentianplank/settings/settings.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace gentianplank::platform {

// Reads the text of a settings file; fields that this version does not know are passed over. The
// error lists every field that is missing or mistyped. Thread-safe.
tl::expected<EntryVmSettings, std::vector<Finding>> decodeProcessSettings(std::string_view text,
                                                                          const std::string &file);

// The same from a file, which may be unreadable.
tl::expected<EntryVmSettings, std::vector<Finding>> loadProcessSettings(const std::string &file);

} // namespace gentianplank::platform
