//! `sanddrum call`: sends one request through an edge and prints the response.

use crate::{exit, fail};
use clap::Args;
use rustls::{ClientConnection, Stream};
use sanddrum_tls::{TlsConfig, TlsMaterial, TlsOptions};
use sanddrum_wire::http;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Args, Clone, Debug)]
pub struct CallArgs {
    /// Address of the edge's client listener
    #[arg(long, default_value = "127.0.0.1:8080", value_name = "ADDRESS")]
    pub edge: String,
    /// Workload of the function
    pub workload: String,
    /// Function to call
    pub function: String,
    /// Request body
    #[arg(long, default_value = "")]
    pub body: String,
    /// Customer on whose behalf the request is sent
    #[arg(long)]
    pub customer: Option<String>,
    /// File with the bearer token to send
    #[arg(long, value_name = "FILE")]
    pub token: Option<PathBuf>,
    /// Connect over TLS and trust the certificate authorities in this file
    #[arg(long, value_name = "FILE")]
    pub roots: Option<PathBuf>,
    /// Name that the edge's certificate must carry; the host of --edge by default
    #[arg(long, requires = "roots")]
    pub name: Option<String>,
    /// Client certificate chain to present
    #[arg(long, value_name = "FILE", requires = "roots", requires = "key")]
    pub certificate: Option<PathBuf>,
    /// Private key of the client certificate
    #[arg(long, value_name = "FILE", requires = "certificate")]
    pub key: Option<PathBuf>,
    /// Time limit of the request in milliseconds
    #[arg(long, value_name = "MS")]
    pub time_limit: Option<u64>,
    /// Idempotency key, by which a repeated request is recognized if its workload is fingerprinted
    #[arg(long)]
    pub idempotency_key: Option<String>,
}

pub fn run(args: &CallArgs) -> ExitCode {
    let started = Instant::now();
    match send_request(args) {
        Ok(response) => {
            let end = response.field("sanddrum-end").unwrap_or("answered");
            let ms = started.elapsed().as_micros() as f64 / 1000.0;
            eprintln!("{end} ({}) in {ms:.1} ms", response.status);
            let _ = std::io::stdout().write_all(&response.body);
            println!();
            ExitCode::from(if response.status == 200 {
                exit::SUCCESS
            } else {
                exit::CHECK_FAILED
            })
        }
        Err(problem) => fail(exit::RUNTIME_ERROR, format!("{}: {problem}", args.edge)),
    }
}

fn send_request(args: &CallArgs) -> Result<http::Response, String> {
    let limit = args.time_limit.map(|ms| ms.to_string());
    let token = args
        .token
        .as_ref()
        .map(std::fs::read_to_string)
        .transpose()
        .map_err(|e| format!("--token: {e}"))?;
    let token = token.map(|text| format!("Bearer {}", text.trim()));
    let mut fields = Vec::new();
    let optional = [
        ("sanddrum-customer", args.customer.as_deref()),
        ("sanddrum-time-limit-ms", limit.as_deref()),
        ("authorization", token.as_deref()),
        ("idempotency-key", args.idempotency_key.as_deref()),
    ];
    fields.extend(
        optional
            .iter()
            .filter_map(|(name, value)| value.map(|v| (*name, v))),
    );
    let path = format!("/v1/calls/{}/{}", args.workload, args.function);
    let request = http::encode_request("POST", &path, &fields, args.body.as_bytes());
    let mut socket = TcpStream::connect(&args.edge).map_err(|e| e.to_string())?;
    let read_timeout = Duration::from_millis(args.time_limit.unwrap_or(60_000) + 1000);
    socket
        .set_read_timeout(Some(read_timeout))
        .map_err(|e| e.to_string())?;
    match &args.roots {
        None => exchange(&mut socket, &request),
        Some(roots) => {
            let mut tls = tls_connection(args, roots)?;
            exchange(&mut Stream::new(&mut tls, &mut socket), &request)
        }
    }
}

fn tls_connection(args: &CallArgs, roots: &Path) -> Result<ClientConnection, String> {
    let read = |file: &Path| std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()));
    let own = match (&args.certificate, &args.key) {
        (Some(chain), Some(key)) => Some((read(chain)?, read(key)?)),
        _ => None,
    };
    let material = TlsMaterial {
        roots: read(roots)?,
        certified_key: own,
        ..TlsMaterial::default()
    };
    let config = TlsConfig::new(&material, &TlsOptions::default()).map_err(|e| e.to_string())?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as i64;
    let host = args
        .edge
        .rsplit_once(':')
        .map_or(args.edge.as_str(), |(host, _)| host);
    config
        .client_connection(now, args.name.as_deref().unwrap_or(host))
        .map_err(|e| e.to_string())
}

fn exchange(stream: &mut (impl Read + Write), request: &[u8]) -> Result<http::Response, String> {
    stream.write_all(request).map_err(|e| e.to_string())?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some((response, _)) =
            http::parse_response(&bytes).map_err(|_| "the response is not valid HTTP")?
        {
            return Ok(response);
        }
        match stream.read(&mut chunk).map_err(|e| e.to_string())? {
            0 => return Err("the edge closed the connection without a response".into()),
            n => bytes.extend_from_slice(&chunk[..n]),
        }
    }
}
