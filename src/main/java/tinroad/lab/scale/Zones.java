package tinroad.lab.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Which address, zone and region a gateway of the scale run has by its number: the real ones first,
 * then the hollow ones, which have addresses 127.N.0.1 and on. Zones and regions are names; what
 * lies between them is delay, loss and cuts.
 */
record Zones(List<String> real, int net, int zones, int regions) {
    private static final int IN_A_ROW = 250;

    /** The address of a gateway, as text. */
    String host(int number) {
        int n = number - real.size();
        return n < 0
                ? real.get(number)
                : "127." + net + "." + n / IN_A_ROW + "." + (1 + n % IN_A_ROW);
    }

    /** Whose address this is; -1 for anybody else's. */
    int number(InetSocketAddress address) {
        InetAddress host = address.getAddress();
        byte[] b = host.getAddress();
        if ((b[1] & 0xff) == net) {
            return real.size() + IN_A_ROW * (b[2] & 0xff) + (b[3] & 0xff) - 1;
        }
        return real.indexOf(host.getHostAddress());
    }

    int zone(int number) {
        return number % zones;
    }

    int region(int number) {
        return zone(number) % regions;
    }

    String name(int number) {
        return "r" + region(number) + "-z" + zone(number);
    }
}
