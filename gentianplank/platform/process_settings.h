// Decoder for the TOML settings file that the platform provides to a process.
#pragma once

#include "gentianplank/settings/entry_vm_settings.h"
#include "gentianplank/settings/settings.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace gentianplank::platform {

// Decodes the text of a settings file. Unknown fields are ignored. The error lists all fields that
// are missing or invalid; `file` is the name for findings. Thread-safe.
tl::expected<EntryVmSettings, std::vector<Finding>> decodeProcessSettings(std::string_view text,
                                                                          const std::string &file);

// Reads and decodes a settings file; a file that can't be read is one finding. Thread-safe.
tl::expected<EntryVmSettings, std::vector<Finding>> loadProcessSettings(const std::string &file);

} // namespace gentianplank::platform
