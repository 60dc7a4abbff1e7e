//! Refusals as HTTP responses.

use poem::http::{HeaderValue, StatusCode};
use poem::web::Json;
use poem::{IntoResponse, Response};
use serde_json::{Value, json};

use crate::clock::now_ms;
use crate::refusal::{Reason, Refusal};

/// Header that says whether a refused call has run.
pub const RAN_HEADER: &str = "x-coursestile-ran";

/// A refusal with the text that the caller gets.
pub struct Rejection {
    /// The refusal.
    pub refusal: Refusal,
    /// Description of the fault.
    pub detail: String,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        let detail = refusal.reason.to_string();
        Self { refusal, detail }
    }
}

impl From<Reason> for Rejection {
    fn from(reason: Reason) -> Self {
        Refusal::not_run(reason).into()
    }
}

impl IntoResponse for Rejection {
    fn into_response(self) -> Response {
        let Refusal { ran, reason, retry_at_ms } = self.refusal;
        let labels = [("ran", ran.to_string()), ("reason", reason.name())];
        metrics::counter!("coursestile_refusals_total", &labels).increment(1);
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = (status, Json(error_body(&self.refusal, &self.detail))).into_response();
        response.headers_mut().insert(RAN_HEADER, header_value(&ran.to_string()));
        if let Some(retry_at_ms) = retry_at_ms {
            let seconds = retry_at_ms.saturating_sub(now_ms()).div_ceil(1000);
            response.headers_mut().insert("retry-after", header_value(&seconds.to_string()));
        }
        response
    }
}

/// Converts text to a header value; text that a header cannot hold becomes `unprintable`.
#[must_use]
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("unprintable"))
}

/// JSON body of a refusal.
#[must_use]
pub fn error_body(refusal: &Refusal, detail: &str) -> Value {
    json!({ "error": {
        "message": format!("{}: {detail}", refusal.ran),
        "type": refusal.reason.name(),
        "ran": refusal.ran.to_string(),
        "retry_at_ms": refusal.retry_at_ms,
    }})
}

/// The rejection of a malformed request.
#[must_use]
pub fn bad_request(detail: String) -> Rejection {
    Rejection { refusal: Refusal::not_run(Reason::BadRequest), detail }
}
