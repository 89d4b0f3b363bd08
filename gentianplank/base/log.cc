#include "gentianplank/base/log.h"

#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace gentianplank {

namespace {

namespace trivial = boost::log::trivial;

trivial::severity_level toBoost(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return trivial::debug;
    case Severity::Info:
        return trivial::info;
    case Severity::Warning:
        return trivial::warning;
    case Severity::Error:
        break;
    }
    return trivial::error;
}

} // namespace

void initLogging(Severity minSeverity)
{
    namespace expressions = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::clog, boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format =
                                    expressions::stream
                                    << expressions::format_date_time<boost::posix_time::ptime>(
                                           "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                    << " " << trivial::severity << " " << expressions::smessage);
    boost::log::core::get()->set_filter(trivial::severity >= toBoost(minSeverity));
}

void logLine(Severity severity, std::string_view component, std::string_view message)
{
    BOOST_LOG_STREAM_WITH_PARAMS(trivial::logger::get(),
                                 (boost::log::keywords::severity = toBoost(severity)))
        << "[" << component << "] " << message;
}

} // namespace gentianplank
