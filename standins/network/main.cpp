/// Stand-in for the network between data centres.
#include "network.hpp"

#include "standin/program.hpp"

namespace bronzespar::standin {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

program_description describeProgram() {
  program_description Program;
  Program.Name = "bronzespar-standin-network";
  Program.Purpose =
      "Relays TCP between zones with one-way latency, cuts and silence.\n"
      "A cut holds what is sent until it is healed. Of a connection made\n"
      "silent, one end finds the other dead 2 s after that one closed.\n";
  auto Add = Program.Options.add_options();
  Add("config", options::value<std::string>()->required(),
      "zones and links (INI)");
  Add("control", options::value<std::string>()->required(),
      "IP:PORT of the control port");
  return Program;
}

void stop(network &Network) {
  stopServer(*Network.Control);
  stopRelays(Network);
}

leaf::result<stop_action> start(boost::asio::io_context &Context,
                                const options::variables_map &Arguments) {
  const auto Network = std::make_shared<network>(Context);
  BOOST_LEAF_AUTO(Control, readEndpoint(Arguments, "control"));
  const auto &File = Arguments["config"].as<std::string>();
  BOOST_LEAF_AUTO(Text, readFile(File));
  BOOST_LEAF_ASSIGN(Network->Plan, parseNetworkPlan(Text, File));
  Network->Cuts.Zones = zoneNames(Network->Plan);
  startLinks(Network);
  startControl(Network, Control);
  return stop_action([Network] { stop(*Network); });
}

} // namespace

} // namespace bronzespar::standin

int main(int ArgumentCount, char **Arguments) {
  bronzespar::standin::program_description Program =
      bronzespar::standin::describeProgram();
  Program.Start = bronzespar::standin::start;
  return bronzespar::standin::runProgram(ArgumentCount, Arguments, Program);
}
