import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Relays connections of one machine to the store. While it is silent, it discards all bytes: calls are not performed and get no answer. A
 * connection that has lost bytes delivers nothing further; others work again afterwards, and so do new ones.
 */
final class SilencingRelay {

    private static final int BUFFER_BYTES = 65_536;

    private final ServerSocket socket;
    private final InetSocketAddress target;
    private volatile boolean silent;

    /** One relayed connection. */
    private static final class Connection {
        private volatile boolean broken;
    }

    SilencingRelay(InetAddress address, InetSocketAddress target) throws IOException {
        this.target = target;
        this.socket = new ServerSocket(0, 256, address);
        Threads.start("relay", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    void setSilent(boolean newSilent) {
        silent = newSilent;
    }

    private void accept() throws IOException {
        while (true) {
            Socket from = socket.accept();
            Socket to = new Socket(target.getAddress(), target.getPort());
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            Connection connection = new Connection();
            Threads.start("relay-out", () -> copy(from, to, connection));
            Threads.start("relay-in", () -> copy(to, from, connection));
        }
    }

    private void copy(Socket from, Socket to, Connection connection) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                connection.broken |= silent;
                if (!connection.broken) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
            }
        }
    }
}
