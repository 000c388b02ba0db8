//! HTTP client for the admin ports of the programs under test.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Sends a request without a body and returns the body of the answer.
pub async fn get_text(address: SocketAddr, path: &str) -> String {
    exchange(address, "GET", path, "").await
}

/// Sends a GET request and decodes the JSON body of the answer.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let text = get_text(address, path).await;
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{path}: {error}: {text}"))
}

/// Sends a PUT request with a JSON value.
pub async fn put<T: Serialize>(address: SocketAddr, path: &str, value: &T) {
    let body = serde_json::to_string(value).expect("the value has a JSON form");
    exchange(address, "PUT", path, &body).await;
}

/// Sends a POST request without a body.
pub async fn post(address: SocketAddr, path: &str) {
    exchange(address, "POST", path, "").await;
}

async fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the admin port is open");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8(answer).expect("the answer is UTF-8");
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .expect("the answer has a head");
    let accepted = head.starts_with("HTTP/1.1 200");
    assert!(accepted, "{method} {path}: {answer}");
    body.to_owned()
}
