#include "gentianplank/base/compression.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;

BOOST_AUTO_TEST_CASE(decompressionRestoresText)
{
    std::string text;
    for (int i = 0; i < 20000; ++i) {
        text += "{\"route\":" + std::to_string(i) + "}";
    }
    const std::string bytes = compressed(text);
    BOOST_TEST(bytes.size() < text.size() / 4);
    const auto back = decompressed(bytes, text.size());
    BOOST_REQUIRE(back);
    BOOST_TEST((*back == text));
    BOOST_TEST(decompressed(compressed(""), 0).value().empty());
}

BOOST_AUTO_TEST_CASE(rejectsDamagedAndOversizedInput)
{
    const std::string bytes = compressed(std::string(100000, 'x'));
    BOOST_TEST(!decompressed(bytes, 99999));
    BOOST_TEST(!decompressed(bytes.substr(0, bytes.size() / 2), 100000));
    BOOST_TEST(!decompressed("not deflate", 100000));
}
