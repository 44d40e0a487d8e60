/// Parsing and printing of endpoints.
#include <bronzespar/endpoint.hpp>

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace bronzespar {

std::optional<endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string Address(Text.substr(0, Colon));
  boost::system::error_code Error;
  boost::asio::ip::make_address_v4(Address, Error);
  if (Error)
    return std::nullopt;
  const std::string_view Digits = Text.substr(Colon + 1);
  const char *End = Digits.data() + Digits.size();
  std::uint16_t Port = 0;
  const auto Parsed = std::from_chars(Digits.data(), End, Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || Port == 0)
    return std::nullopt;
  return endpoint{Address, Port};
}

std::string toText(const endpoint &Where) {
  return Where.Address + ':' + std::to_string(Where.Port);
}

} // namespace bronzespar
