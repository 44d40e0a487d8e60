/// JSON form of the project's records.
#include "records.hpp"

#include "json_object.hpp"

namespace bronzespar::proxy {

namespace json = boost::json;

namespace {

json::object toObject(const std::map<std::string, std::string> &Primaries) {
  json::object Object;
  for (const auto &[Group, Primary] : Primaries)
    Object[Group] = Primary;
  return Object;
}

json::object toObject(const std::map<std::string, std::uint64_t> &Generations) {
  json::object Object;
  for (const auto &[Group, Generation] : Generations)
    Object[Group] = Generation;
  return Object;
}

std::map<std::string, std::uint64_t> generationsOf(const json::object &Object,
                                                   std::string_view Field) {
  std::map<std::string, std::uint64_t> Generations;
  const json::value *Map =
      Object.if_contains(json::string_view(Field.data(), Field.size()));
  if (Map == nullptr || !Map->is_object())
    return Generations;
  for (const auto &Entry : Map->as_object())
    if (const auto Generation = toUnsigned(&Entry.value()))
      Generations[std::string(Entry.key())] = *Generation;
  return Generations;
}

std::map<std::string, std::string> primariesOf(const json::object &Object,
                                               std::string_view Field) {
  std::map<std::string, std::string> Primaries;
  const json::value *Map =
      Object.if_contains(json::string_view(Field.data(), Field.size()));
  if (Map == nullptr || !Map->is_object())
    return Primaries;
  for (const auto &Entry : Map->as_object())
    if (Entry.value().is_string())
      Primaries[std::string(Entry.key())] =
          std::string_view(Entry.value().as_string());
  return Primaries;
}

/// The field `order` of a closed record: null when none may have been sent.
json::value toValue(const std::optional<named_order> &Order) {
  if (!Order)
    return nullptr;
  return json::object{{"target", Order->Target}, {"led_term", Order->LedTerm}};
}

/// A closed record without the field was written by a host of an earlier
/// version, which did not name its orders.
std::optional<named_order> latestOrderOf(const json::object &Object) {
  const json::value *Field = Object.if_contains("order");
  if (Field != nullptr && Field->is_null())
    return std::nullopt;
  named_order Order;
  if (Field == nullptr || !Field->is_object())
    return Order;
  const json::object &Named = Field->as_object();
  if (const json::value *Target = Named.if_contains("target");
      Target != nullptr && Target->is_string())
    Order.Target = std::string_view(Target->as_string());
  if (const auto LedTerm = toUnsigned(Named.if_contains("led_term")))
    Order.LedTerm = *LedTerm;
  else
    Order.Target.clear();
  return Order;
}

json::object toObject(const std::map<std::string, recorded_member> &Members) {
  json::object Object;
  for (const auto &[Id, Member] : Members)
    Object[Id] = json::object{{"address", toText(Member.Endpoint)},
                              {"draining", Member.IsDraining}};
  return Object;
}

/// A member without a usable address counts, too: its id tells that it exists.
std::map<std::string, recorded_member> membersOf(const json::object &Object) {
  std::map<std::string, recorded_member> Members;
  const json::value *Map = Object.if_contains("members");
  if (Map == nullptr || !Map->is_object())
    return Members;
  for (const auto &Entry : Map->as_object()) {
    recorded_member &Member = Members[std::string(Entry.key())];
    if (!Entry.value().is_object())
      continue;
    const json::object &Fields = Entry.value().as_object();
    if (const json::value *Address = Fields.if_contains("address");
        Address != nullptr && Address->is_string())
      Member.Endpoint = parseEndpoint(std::string_view(Address->as_string()))
                            .value_or(endpoint{});
    if (const json::value *Draining = Fields.if_contains("draining");
        Draining != nullptr && Draining->is_bool())
      Member.IsDraining = Draining->as_bool();
  }
  return Members;
}

} // namespace

bool hasAcknowledged(const host_record &Record, const std::string &Group,
                     std::uint64_t Generation) {
  const auto Found = Record.AcknowledgedClosures.find(Group);
  return Found != Record.AcknowledgedClosures.end() &&
         Found->second >= Generation;
}

std::string formatRecord(const group_record &Record) {
  json::object Object{{"generation", Record.Generation},
                      {"primary", Record.Primary},
                      {"open", Record.Open},
                      {"electors", json::array(Record.Electors.begin(),
                                               Record.Electors.end())}};
  if (Record.PrimaryStays)
    Object["primary_stays"] = true;
  if (Record.Term > 0)
    Object["term"] = Record.Term;
  if (!Record.Open && !Record.PrimaryStays)
    Object["order"] = toValue(Record.LatestOrder);
  if (Record.Era > 0)
    Object["era"] = Record.Era;
  if (Record.Rebuilt)
    Object["rebuilt"] = true;
  if (!Record.Members.empty())
    Object["members"] = toObject(Record.Members);
  return json::serialize(Object);
}

std::string formatRecord(const host_record &Record) {
  json::object Object{{"peers", toText(Record.PeerEndpoint)},
                      {"data_centre", Record.DataCentre},
                      {"acknowledged", toObject(Record.AcknowledgedClosures)},
                      {"leaving", Record.Leaving},
                      {"blind", toObject(Record.UnreachablePrimaries)}};
  if (Record.Revoked)
    Object["revoked"] = true;
  // A host formats its own record. Only a revocation formats that of another
  // one, which may be of an earlier version.
  if (Record.GrantsByDataCentre || !Record.Revoked)
    Object["grants_by_data_centre"] = true;
  if (Record.LinkMbps > 0)
    Object["link_mbps"] = Record.LinkMbps;
  if (!Record.SuspectedPrimaries.empty())
    Object["suspected"] = toObject(Record.SuspectedPrimaries);
  if (!Record.DisprovedGenerations.empty())
    Object["disproved"] = toObject(Record.DisprovedGenerations);
  return json::serialize(Object);
}

std::optional<group_record> parseGroupRecord(std::string_view Text) {
  const auto Object = parseObject(Text);
  if (!Object)
    return std::nullopt;
  const auto Generation = toUnsigned(Object->if_contains("generation"));
  const json::value *Primary = Object->if_contains("primary");
  const json::value *Open = Object->if_contains("open");
  if (!Generation || Primary == nullptr || !Primary->is_string() ||
      Open == nullptr || !Open->is_bool())
    return std::nullopt;
  group_record Record{*Generation, std::string(Primary->as_string()),
                      Open->as_bool()};
  if (const json::value *Stays = Object->if_contains("primary_stays"))
    Record.PrimaryStays = Stays->is_bool() && Stays->as_bool();
  Record.Term = toUnsigned(Object->if_contains("term")).value_or(0);
  Record.Era = toUnsigned(Object->if_contains("era")).value_or(0);
  if (const json::value *Rebuilt = Object->if_contains("rebuilt"))
    Record.Rebuilt = Rebuilt->is_bool() && Rebuilt->as_bool();
  Record.Members = membersOf(*Object);
  if (!Record.Open && !Record.PrimaryStays)
    Record.LatestOrder = latestOrderOf(*Object);
  if (const json::value *List = Object->if_contains("electors");
      List != nullptr && List->is_array())
    for (const json::value &Elector : List->as_array())
      if (Elector.is_string())
        Record.Electors.emplace_back(std::string_view(Elector.as_string()));
  return Record;
}

std::optional<host_record> parseHostRecord(std::string_view Text) {
  const auto Object = parseObject(Text);
  const json::value *Peers = Object ? Object->if_contains("peers") : nullptr;
  if (Peers == nullptr || !Peers->is_string())
    return std::nullopt;
  host_record Record;
  if (const auto Endpoint = parseEndpoint(std::string_view(Peers->as_string())))
    Record.PeerEndpoint = *Endpoint;
  if (const json::value *Link = Object->if_contains("link_mbps");
      Link != nullptr && Link->is_number())
    Record.LinkMbps = Link->to_number<double>();
  if (const json::value *Leaving = Object->if_contains("leaving");
      Leaving != nullptr && Leaving->is_bool())
    Record.Leaving = Leaving->as_bool();
  if (const json::value *Grants = Object->if_contains("grants_by_data_centre");
      Grants != nullptr && Grants->is_bool())
    Record.GrantsByDataCentre = Grants->as_bool();
  if (const json::value *Revoked = Object->if_contains("revoked");
      Revoked != nullptr && Revoked->is_bool())
    Record.Revoked = Revoked->as_bool();
  if (const json::value *DataCentre = Object->if_contains("data_centre");
      DataCentre != nullptr && DataCentre->is_string())
    Record.DataCentre = std::string_view(DataCentre->as_string());
  Record.AcknowledgedClosures = generationsOf(*Object, "acknowledged");
  Record.UnreachablePrimaries = primariesOf(*Object, "blind");
  Record.SuspectedPrimaries = primariesOf(*Object, "suspected");
  Record.DisprovedGenerations = generationsOf(*Object, "disproved");
  return Record;
}

} // namespace bronzespar::proxy
