// The platform's names that more than one file of this folder uses.
#pragma once

namespace gentianplank::platform {

// Tables of the platform's store.
inline constexpr char OperatorTable[] = "op";
inline constexpr char ConfigurationKey[] = "config";
inline constexpr char MemberTable[] = "servers";

// What a process calls at the platform and answers to it.
inline constexpr char ReadinessPath[] = "/readiness";
inline constexpr char SettingsVariable[] = "GENTIANPLANK_NODE_FILE";

} // namespace gentianplank::platform
