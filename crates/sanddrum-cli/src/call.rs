//! `sanddrum call`: one call through an edge, for people and scripts.

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
    /// The edge's client door
    #[arg(long, default_value = "127.0.0.1:8080", value_name = "ADDRESS")]
    pub edge: String,
    pub workload: String,
    pub function: String,
    /// The job's input
    #[arg(long, default_value = "")]
    pub body: String,
    #[arg(long)]
    pub customer: Option<String>,
    /// A file with a token to show
    #[arg(long, value_name = "FILE")]
    pub token: Option<PathBuf>,
    /// Speak TLS: the authorities that the edge's certificate is believed from
    #[arg(long, value_name = "FILE")]
    pub roots: Option<PathBuf>,
    /// The name that the edge has to own; its address where not said
    #[arg(long, requires = "roots")]
    pub name: Option<String>,
    /// A client certificate to show, and its key
    #[arg(long, value_name = "FILE", requires = "roots", requires = "key")]
    pub certificate: Option<PathBuf>,
    #[arg(long, value_name = "FILE", requires = "certificate")]
    pub key: Option<PathBuf>,
    /// Given up after so many milliseconds
    #[arg(long, value_name = "MS")]
    pub time_limit: Option<u64>,
    /// The mark by which a repeat of a fingerprinted job is known
    #[arg(long)]
    pub idempotency_key: Option<String>,
}

pub fn run(args: &CallArgs) -> ExitCode {
    let began = Instant::now();
    match ask(args) {
        Ok(answer) => {
            let end = answer.field("sanddrum-end").unwrap_or("answered");
            let ms = began.elapsed().as_micros() as f64 / 1000.0;
            eprintln!("{end} ({}) in {ms:.1} ms", answer.status);
            let _ = std::io::stdout().write_all(&answer.body);
            println!();
            ExitCode::from(if answer.status == 200 {
                exit::GOOD
            } else {
                exit::BAD
            })
        }
        Err(problem) => fail(exit::TROUBLE, format!("{}: {problem}", args.edge)),
    }
}

fn ask(args: &CallArgs) -> Result<http::Response, String> {
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
    let patience = Duration::from_millis(args.time_limit.unwrap_or(60_000) + 1000);
    socket
        .set_read_timeout(Some(patience))
        .map_err(|e| e.to_string())?;
    match &args.roots {
        None => exchange(&mut socket, &request),
        Some(roots) => {
            let mut tls = secured(args, roots)?;
            exchange(&mut Stream::new(&mut tls, &mut socket), &request)
        }
    }
}

fn secured(args: &CallArgs, roots: &Path) -> Result<ClientConnection, String> {
    let read = |file: &Path| std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()));
    let own = match (&args.certificate, &args.key) {
        (Some(chain), Some(key)) => Some((read(chain)?, read(key)?)),
        _ => None,
    };
    let papers = TlsMaterial {
        roots: read(roots)?,
        certified_key: own,
        ..TlsMaterial::default()
    };
    let terms = TlsConfig::new(&papers, &TlsOptions::default()).map_err(|e| e.to_string())?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as i64;
    let host = args
        .edge
        .rsplit_once(':')
        .map_or(args.edge.as_str(), |(host, _)| host);
    terms
        .client_connection(now, args.name.as_deref().unwrap_or(host))
        .map_err(|e| e.to_string())
}

fn exchange(stream: &mut (impl Read + Write), request: &[u8]) -> Result<http::Response, String> {
    stream.write_all(request).map_err(|e| e.to_string())?;
    let mut bytes = Vec::new();
    let mut piece = [0; 16 * 1024];
    loop {
        if let Some((answer, _)) =
            http::parse_response(&bytes).map_err(|_| "the answer is no HTTP")?
        {
            return Ok(answer);
        }
        match stream.read(&mut piece).map_err(|e| e.to_string())? {
            0 => return Err("the edge closed without an answer".into()),
            n => bytes.extend_from_slice(&piece[..n]),
        }
    }
}
