//! Queries the kernel's socket diagnosis (`sock_diag` over netlink) for the state of one TCP connection of this
//! machine.
//!
//! A query identifies one connection by its addresses, so it takes microseconds however many sockets the machine has.
//! Listing all sockets takes up to half a second, so a list would report a later state than that at the time of the
//! query.

use std::io;
use std::net::SocketAddr;

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP, TCP_CLOSE_WAIT, TCP_ESTABLISHED};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, InetResponseHeader, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use netlink_sys::{Socket, SocketAddr as NetlinkAddress};

/// Netlink address of the kernel: port id and multicast groups.
const KERNEL_ADDRESS: (u32, u32) = (0, 0);
/// Cookie with which a request matches a socket by its addresses alone.
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// Capacity of the buffer for the response about one socket, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

/// TCP state of one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Both sides may send (`ESTABLISHED`).
    Established,
    /// The remote side has closed its direction, this side has not (`CLOSE_WAIT`).
    CloseWait,
    /// Any other TCP state.
    Other,
}

/// One end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    pub state: ConnectionState,
    /// Bytes that were received but not read by the process.
    pub unread_bytes: u64,
    /// Bytes that were written by the process but not acknowledged by the remote machine.
    pub unacknowledged_bytes: u64,
}

/// Returns the end `local` of the connection with `remote`; `None` if that end does not exist.
///
/// Does not block: the kernel responds within the system call that sends the request.
pub fn query_connection(local: SocketAddr, remote: SocketAddr) -> io::Result<Option<Connection>> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.connect(&NetlinkAddress::new(KERNEL_ADDRESS.0, KERNEL_ADDRESS.1))?;
    socket.set_non_blocking(true)?;
    socket.send(&request_bytes(local, remote), 0)?;
    let mut response_bytes = Vec::with_capacity(MAX_RESPONSE_BYTES);
    socket.recv(&mut response_bytes, 0)?;
    parse_response(&response_bytes, local, remote)
}

/// Serializes the request for one connection.
fn request_bytes(local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let socket_id = SocketId {
        source_port: local.port(),
        destination_port: remote.port(),
        source_address: local.ip(),
        destination_address: remote.ip(),
        interface_id: 0,
        cookie: ANY_COOKIE,
    };
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

/// Parses the kernel's response; `None` if the connection does not exist.
fn parse_response(
    response_bytes: &[u8], local: SocketAddr, remote: SocketAddr,
) -> io::Result<Option<Connection>> {
    let message: NetlinkMessage<SockDiagMessage> =
        NetlinkMessage::deserialize(response_bytes).map_err(io::Error::other)?;
    match message.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
            let found = &response.header.socket_id;
            // If the connection's end does not exist, the kernel returns the listener at the same address.
            let is_connection = found.source_port == local.port() && found.destination_port == remote.port();
            Ok(is_connection.then(|| Connection::from(&response.header)))
        }
        NetlinkPayload::Error(error) => match error.to_io() {
            error if error.kind() == io::ErrorKind::NotFound => Ok(None),
            error => Err(error),
        },
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

impl From<&InetResponseHeader> for Connection {
    fn from(header: &InetResponseHeader) -> Connection {
        let state = match header.state {
            TCP_ESTABLISHED => ConnectionState::Established,
            TCP_CLOSE_WAIT => ConnectionState::CloseWait,
            _ => ConnectionState::Other,
        };
        Connection {
            state,
            unread_bytes: header.recv_queue.into(),
            unacknowledged_bytes: header.send_queue.into(),
        }
    }
}
