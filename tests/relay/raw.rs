//! A target whose replies are bytes that the test sets.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts a target that answers each request with these bytes and closes the connection.
pub async fn start_target(reply: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (connection, _) = listener.accept().await.unwrap();
            tokio::spawn(answer(connection, reply.clone()));
        }
    });
    address
}

async fn answer(mut connection: TcpStream, reply: String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match connection.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    // The relay may close the connection while it reads.
    let _ = connection.write_all(reply.as_bytes()).await;
}
