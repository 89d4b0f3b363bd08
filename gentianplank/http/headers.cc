#include "gentianplank/http/headers.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace gentianplank {

std::optional<std::string> findHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const auto &field) {
        return boost::beast::iequals({field.first.data(), field.first.size()},
                                     {name.data(), name.size()});
    });
    return it == headers.end() ? std::nullopt : std::optional<std::string>(it->second);
}

} // namespace gentianplank
