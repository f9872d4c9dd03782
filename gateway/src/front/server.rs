//! Accepts connections and serves a tower service on them until the process is to end.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tower::{service_fn, Service, ServiceExt};

use super::{response, Body, Front};
use crate::log;
use crate::shutdown::{Phase, Shutdown};

/// A head that does not come, or a connection that stands idle, for so long is closed.
const HEAD_WAIT: Duration = Duration::from_secs(60);
/// Connections beyond the cap that may at the same time be told to come back later.
const REFUSING: usize = 24;
/// What is in the machine's queue when accepting ends has been accepted for us, so it is served.
const LAST_ACCEPT: Duration = Duration::from_millis(5);
/// Pause after a failed accept (no descriptor left, say).
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

type Answer = Result<Response<Body>, Infallible>;

/// Serves until shutdown has passed its accepting phase, then lets connections end by themselves.
pub async fn serve(listener: TcpListener, front: impl Front, cap: usize, shutdown: Shutdown) {
    let service = front.service();
    let (room, refusals) = (Rc::new(Semaphore::new(cap)), Rc::new(Semaphore::new(REFUSING)));
    let take = |socket: TcpStream| {
        let (service, shutdown) = (service.clone(), shutdown.clone());
        let (room, refusals) = (room.clone(), refusals.clone());
        spawn_local(async move {
            if let Ok(_place) = room.try_acquire() {
                return connection(socket, service, shutdown).await;
            }
            // Refusal rather than loss: what the machine accepted gets an answer, even without room for it.
            let _place = refusals.acquire().await;
            connection(socket, service_fn(|_| async { Ok(no_room()) }), shutdown).await;
        });
    };
    let stop = shutdown.reached(Phase::Closing);
    tokio::pin!(stop);
    loop {
        tokio::select! {
            biased;
            () = &mut stop => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => take(socket),
                Err(e) => {
                    log!("cannot accept: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    while let Ok(Ok((socket, _))) = timeout(LAST_ACCEPT, listener.accept()).await {
        take(socket);
    }
}

fn no_room() -> Response<Body> {
    let mut refusal = response(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n");
    refusal.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    refusal.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    refusal
}

async fn connection<S>(socket: TcpStream, service: S, shutdown: Shutdown)
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: 'static>
        + Clone
        + 'static,
{
    let _guard = shutdown.guard();
    let _ = socket.set_nodelay(true);
    let leaving = shutdown.clone();
    // While the process is about to end, each answer says that its connection ends too.
    let service = service_fn(move |request| -> LocalBoxFuture<'static, Answer> {
        let (service, leaving) = (service.clone(), leaving.clone());
        Box::pin(async move {
            let mut response = service.oneshot(request).await?;
            if leaving.phase() != Phase::Serving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response)
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WAIT)
        .serve_connection(TokioIo::new(socket), TowerToHyperService::new(service));
    tokio::pin!(connection);
    let stop = shutdown.reached(Phase::Closing);
    tokio::select! {
        // Errors are the client's going, or an answer that broke off on purpose.
        _ = connection.as_mut() => return,
        () = stop => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
