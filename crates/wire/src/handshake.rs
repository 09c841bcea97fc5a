//! The handshake that opens a connection: both ends prove that they know the shared secret.
//!
//! Each proof is an HMAC over the nonces and hosts of both ends, so it is valid for one handshake
//! only.

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use oriole_core::name;
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Packet;

use crate::frame::{self, Frame, Hello, Nonce, Proof, VERSION, Welcome};
use crate::{Error, frame::decode};

/// A WebSocket over TCP.
pub type Socket = WebSocketStream<TcpStream>;

/// Identity that a process proves in handshakes.
#[derive(Clone)]
pub struct Identity {
    /// The host of this process.
    pub host: name::Host,
    /// Secret that all processes of one deployment share.
    secret: Vec<u8>,
    /// The secret before, by which a process that has not heard of the change may still prove itself to one
    /// that dials it.
    previous: Option<Vec<u8>>,
}

impl Identity {
    /// Returns the identity of a host that knows the shared secret.
    pub fn new(host: name::Host, secret: Vec<u8>) -> Self {
        Self { host, secret, previous: None }
    }

    /// Replaces the shared secret.
    pub fn set_secret(&mut self, secret: Vec<u8>) {
        if self.secret != secret {
            self.previous = Some(std::mem::replace(&mut self.secret, secret));
        }
    }
}

impl std::fmt::Debug for Identity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Identity").field("host", &self.host).finish_non_exhaustive()
    }
}

/// The end of the connection that makes a proof. It is part of the HMAC so that one end's proof
/// cannot be replayed as the other's.
#[derive(Clone, Copy)]
enum End {
    Dialler,
    Acceptor,
}

/// Runs the dialling end of a handshake. Fails if the peer is not the host `expected`.
pub async fn dial(
    socket: &mut Socket,
    identity: &Identity,
    expected: &name::Host,
) -> Result<(), Error> {
    let nonce = nonce()?;
    let hello = Hello { version: VERSION, host: identity.host.clone(), nonce };
    send(socket, &Frame::Hello(hello)).await?;
    let Frame::Welcome(welcome) = receive(socket).await? else {
        return Err(Error::UnexpectedFrame);
    };
    check_version(welcome.version)?;
    let transcript = Transcript {
        dialler: &identity.host,
        acceptor: &welcome.host,
        dialler_nonce: nonce,
        acceptor_nonce: welcome.nonce,
    };
    let secret = verify_any(identity, &transcript, &welcome.proof)?;
    if welcome.host != *expected {
        return Err(Error::Unauthenticated);
    }
    let proof = prove(secret, End::Dialler, &transcript)?;
    send(socket, &Frame::Proof(proof)).await
}

/// Runs the accepting end of a handshake and returns the peer's host.
pub async fn accept(socket: &mut Socket, identity: &Identity) -> Result<name::Host, Error> {
    let Frame::Hello(hello) = receive(socket).await? else {
        return Err(Error::UnexpectedFrame);
    };
    check_version(hello.version)?;
    let nonce = nonce()?;
    let transcript = Transcript {
        dialler: &hello.host,
        acceptor: &identity.host,
        dialler_nonce: hello.nonce,
        acceptor_nonce: nonce,
    };
    let proof = prove(&identity.secret, End::Acceptor, &transcript)?;
    let host = identity.host.clone();
    send(socket, &Frame::Welcome(Welcome { version: VERSION, host, nonce, proof })).await?;
    let Frame::Proof(proof) = receive(socket).await? else {
        return Err(Error::UnexpectedFrame);
    };
    verify(&identity.secret, End::Dialler, &transcript, &proof)?;
    Ok(hello.host)
}

/// The values that both proofs of a handshake cover.
struct Transcript<'a> {
    dialler: &'a name::Host,
    acceptor: &'a name::Host,
    dialler_nonce: Nonce,
    acceptor_nonce: Nonce,
}

fn mac(secret: &[u8], end: End, t: &Transcript<'_>) -> Result<Hmac<Sha256>, Error> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| Error::Unauthenticated)?;
    mac.update(match end {
        End::Dialler => b"oriole dialler",
        End::Acceptor => b"oriole acceptor",
    });
    mac.update(&t.dialler_nonce);
    mac.update(&t.acceptor_nonce);
    for host in [t.dialler, t.acceptor] {
        mac.update(&(host.as_str().len() as u64).to_be_bytes());
        mac.update(host.as_str().as_bytes());
    }
    Ok(mac)
}

fn prove(secret: &[u8], end: End, t: &Transcript<'_>) -> Result<Proof, Error> {
    Ok(mac(secret, end, t)?.finalize().into_bytes().into())
}

/// Verifies the proof of an acceptor, and returns the secret by which it proves itself.
fn verify_any<'a>(
    identity: &'a Identity,
    t: &Transcript<'_>,
    proof: &Proof,
) -> Result<&'a [u8], Error> {
    let mut known = std::iter::once(&identity.secret).chain(&identity.previous);
    let proven = known.find(|secret| verify(secret, End::Acceptor, t, proof).is_ok());
    proven.map(Vec::as_slice).ok_or(Error::Unauthenticated)
}

fn verify(secret: &[u8], end: End, t: &Transcript<'_>, proof: &Proof) -> Result<(), Error> {
    // `verify_slice` compares in constant time.
    mac(secret, end, t)?.verify_slice(proof).map_err(|_| Error::Unauthenticated)
}

fn check_version(found: u16) -> Result<(), Error> {
    if found == VERSION { Ok(()) } else { Err(Error::Version { found, expected: VERSION }) }
}

fn nonce() -> Result<Nonce, Error> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce)?;
    Ok(nonce)
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<(), Error> {
    let bytes = frame::encode(frame)?;
    socket.send(Packet::Binary(bytes.into())).await?;
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Frame, Error> {
    match socket.next().await {
        Some(Ok(Packet::Binary(bytes))) => decode(&bytes),
        Some(Ok(Packet::Close(_))) | None => Err(Error::Closed),
        Some(Ok(_)) => Err(Error::UnexpectedFrame),
        Some(Err(e)) => Err(e.into()),
    }
}
