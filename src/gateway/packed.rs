//! Packs values that instances copy from each other: encoded and compressed once, and sent in parts.

use std::io::{self, Read};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// Maximum length of an unpacked copy. What operators write is at most a megabyte.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// Why a copy cannot be unpacked.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// The bytes cannot be decompressed.
    #[snafu(display("a copy cannot be decompressed: {source}"))]
    Decompress {
        /// The cause.
        source: io::Error,
    },
    /// The decompressed bytes cannot be decoded, for example because they exceed the maximum length.
    #[snafu(display("a copy cannot be decoded: {source}"))]
    Decode {
        /// The cause.
        source: postcard::Error,
    },
}

/// Packs a value. A few hundred kilobytes take some milliseconds and shrink to a third or less.
///
/// # Errors
/// Fails if the value cannot be encoded.
pub fn pack<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let encoded = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    io::Write::write_all(&mut encoder, &encoded)?;
    encoder.finish()
}

/// Unpacks a value.
///
/// # Errors
/// Fails if the bytes are not a packed value.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, UnpackError> {
    let mut encoded = Vec::new();
    let decoder = DeflateDecoder::new(bytes);
    let read = decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut encoded);
    read.context(DecompressSnafu)?;
    postcard::from_bytes(&encoded).context(DecodeSnafu)
}
