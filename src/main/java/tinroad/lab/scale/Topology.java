package tinroad.lab.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Maps the number of a gateway of the scale run to its address, zone and region. The real gateways
 * come first, then the hollow ones, which have the addresses 127.N.0.1 and on. Zones and regions
 * are only names; delay, loss and cuts between them are emulated.
 *
 * @param real addresses of the real gateways
 * @param net second octet of the hollow gateways' addresses
 * @param zones number of zones
 * @param regions number of regions
 */
record Topology(List<String> real, int net, int zones, int regions) {
    private static final int HOSTS_PER_SUBNET = 250;

    /** The address of a gateway, as text. */
    String host(int number) {
        int hollowIndex = number - real.size();
        return hollowIndex < 0
                ? real.get(number)
                : "127."
                        + net
                        + "."
                        + hollowIndex / HOSTS_PER_SUBNET
                        + "."
                        + (1 + hollowIndex % HOSTS_PER_SUBNET);
    }

    /** The number of the gateway with this address; -1 if there is none. */
    int numberOf(InetSocketAddress address) {
        InetAddress host = address.getAddress();
        byte[] octets = host.getAddress();
        if ((octets[1] & 0xff) == net) {
            return real.size() + HOSTS_PER_SUBNET * (octets[2] & 0xff) + (octets[3] & 0xff) - 1;
        }
        return real.indexOf(host.getHostAddress());
    }

    int zone(int number) {
        return number % zones;
    }

    int region(int number) {
        return zone(number) % regions;
    }

    /** The name of the zone of a gateway. */
    String zoneName(int number) {
        return "r" + region(number) + "-z" + zone(number);
    }
}
