/// Marks that tie a row's value to the request that wrote it.
#include <load/history.hpp>

#include <charconv>

namespace bronzespar::load {

namespace {

std::optional<std::uint32_t> parseNumber(std::string_view Text) {
  std::uint32_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

} // namespace

std::string formatMark(const value_mark &Mark) {
  return std::to_string(Mark.Session) + '.' + std::to_string(Mark.Sequence) +
         '@' + Mark.Row;
}

std::optional<value_mark> parseMark(std::string_view Text) {
  const std::size_t At = Text.find('@');
  const std::size_t Dot = Text.find('.');
  if (At == std::string_view::npos || Dot == std::string_view::npos || Dot > At)
    return std::nullopt;
  const auto Session = parseNumber(Text.substr(0, Dot));
  const auto Sequence = parseNumber(Text.substr(Dot + 1, At - Dot - 1));
  if (!Session || !Sequence)
    return std::nullopt;
  return value_mark{*Session, *Sequence, std::string(Text.substr(At + 1))};
}

std::vector<std::string> splitLines(std::string_view Text) {
  std::vector<std::string> Lines;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    if (End != 0)
      Lines.emplace_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      break;
    Text.remove_prefix(End + 1);
  }
  return Lines;
}

} // namespace bronzespar::load
