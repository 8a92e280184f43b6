#include "json/json.h"

#include <gtest/gtest.h>

namespace basaltchute::json {
namespace {

TEST(Json, TextWithAnUnpairedSurrogateIsNotParsed) {
    // Guards against strings that cannot be written as JSON again: the state service refused every
    // record that held one.
    for (const char* text :
         {R"("\udc00")", R"("\uDFFF")", R"("\ud800")", R"("\ud800x")", R"("\ud800\ud800")",
          R"("\udc00\ud800")", R"("a\ud83d\ude00\ude00")", R"({"a":[{"b":"\udc00"}]})",
          R"({"\udc00":1})", "\"\xED\xB0\x80\"", "\"\xC3\""})
        EXPECT_FALSE(parse(text)) << text;
}

TEST(Json, EscapedUnicodeTextIsParsed) {
    const auto doc = parse(R"({"a":"\ud83d\ude00 \u00e9","b":"\\udc00","c":"\u0000"})");
    ASSERT_TRUE(doc);
    EXPECT_EQ(string(*doc, "a"), "\xF0\x9F\x98\x80 \xC3\xA9");
    EXPECT_EQ(string(*doc, "b"), "\\udc00") << "an escaped backslash, not an escaped character";
    EXPECT_EQ(string(*doc, "c"), std::string(1, '\0'));
    EXPECT_TRUE(parse(text(*doc))) << "what is read can be written and read again";
}

TEST(Json, UnicodeIsToldFromOtherBytes) {
    for (const char* text : {"", "plain", "caf\xC3\xA9", "\xF0\x9F\x98\x80", "\xEF\xBF\xBF"})
        EXPECT_TRUE(isUnicode(text)) << text;
    for (const char* text : {"\xED\xB0\x80", "\xED\xA0\x80", "\xC3", "\xFF", "\x80", "\xC0\x80",
                             "\xF4\x90\x80\x80", "a\xE2\x82"})
        EXPECT_FALSE(isUnicode(text)) << text;
    EXPECT_TRUE(isUnicode(std::string_view("\0", 1)));
}

}  // namespace
}  // namespace basaltchute::json
