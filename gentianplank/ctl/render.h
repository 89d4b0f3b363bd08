// Renders replies of the Administration service as human-readable text.
#pragma once

#include "gentianplank/proto/admin.pb.h"

#include <string>

namespace gentianplank {

std::string renderStatus(const admin::v1::StatusReply &status);
std::string renderHistory(const admin::v1::HistoryReply &history);
std::string renderConfiguration(const configuration::v1::Document &document);
std::string renderKeys(const configuration::v1::Document &document);
std::string renderChange(const admin::v1::ChangeReply &reply);

} // namespace gentianplank
