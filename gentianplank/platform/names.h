// Names of the platform's interface that several files use.
#pragma once

#include <string_view>

namespace gentianplank::platform {

// Tables and keys of the platform's store.
inline constexpr char OperatorTable[] = "op";
inline constexpr char ConfigurationKey[] = "config";
// A row of the operator's table exists while its zone is evacuated.
inline constexpr std::string_view EvacuationKeyPrefix = "evacuate/";
inline constexpr char MemberTable[] = "servers";

// The HTTP path of the readiness probe, and the environment variable with the settings file's path.
inline constexpr char ReadinessPath[] = "/readiness";
inline constexpr char SettingsVariable[] = "GENTIANPLANK_NODE_FILE";

} // namespace gentianplank::platform
